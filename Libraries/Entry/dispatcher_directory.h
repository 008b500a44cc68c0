// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/dispatcher_list.h"

#include <memory>
#include <mutex>

namespace vetchpost {

/// The list of dispatchers that this daemon uses: the one that it chose as the source, or the last one that its source sent. Logs changes.
/// Thread-safe.
class dispatcher_directory
{
public:
    /// Returns the list; without models before the first one.
    std::shared_ptr<const dispatcher_list> current() const;
    /// Returns the digest of the list; 0 before the first one.
    std::uint64_t digest() const;
    /// Replaces the list. Returns whether it differs from the one before.
    bool replace(const dispatcher_list &list);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const dispatcher_list> m_list = std::make_shared<const dispatcher_list>();
    std::uint64_t m_digest = 0;
};

} // namespace vetchpost
