// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"

#include <atomic>
#include <optional>
#include <string>

namespace vetchpost {

/// Reads an era written as a decimal number; nothing if the text is none.
std::optional<store_era> parseEra(const std::string &text);

/// The latest era that the key-value service has named in an answer. Thread-safe.
class store_era_record
{
public:
    /// Records the era that an answer names as a decimal number, and returns it. An answer that names none counts as one of the latest era.
    store_era record(const std::string &text);
    store_era latest() const;
    /// Whether a revision can still be compared with those that the service gives out now, or a lease may still exist.
    template <typename tag>
    bool isPresent(number_of_era<tag> number) const
    {
        return isOfEra(number, latest());
    }

private:
    std::atomic<std::uint64_t> m_latest = 0;
};

} // namespace vetchpost
