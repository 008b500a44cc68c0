// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"

namespace vetchpost::test {

/// Simulates for this process that the machine was suspended for this time: CLOCK_REALTIME and CLOCK_BOOTTIME advance, CLOCK_MONOTONIC and
/// all waits do not.
void suspend(duration time);

} // namespace vetchpost::test
