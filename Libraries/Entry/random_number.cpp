// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/random_number.h"

#include <random>

namespace vetchpost {

std::uint64_t randomNumber()
{
    thread_local std::minstd_rand generator(std::random_device{}());
    return generator();
}

} // namespace vetchpost
