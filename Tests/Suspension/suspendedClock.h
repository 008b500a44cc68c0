// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost::test {

/// Lets this process see what it would see after a suspension of the machine: the calendar clock and the clock that counts the time of a
/// suspension have gone on, the steady one and all waits have stood still.
void suspend(duration time);

} // namespace vetchpost::test
