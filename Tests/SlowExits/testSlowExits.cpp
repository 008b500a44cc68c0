// SPDX-License-Identifier: Apache-2.0
// Guards against requests with a deadly part that are passed on because a crashed replica's port outlives its connections.
#include "Tests/PromptParts/crashingHeads.h"

using namespace vetchpost;
using namespace vetchpost::test;

TEST_CASE(
    "Requests with a part of a prompt that ends replicas reach no more of them, though their ports close later than their connections")
{
    crashing_heads system(slowRestartMarker);
    checkDeadlyPart(system);
}
