// SPDX-License-Identifier: Apache-2.0
#include "Tests/Dispatch/loadModel.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE("Trial")
{
}
