// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"

#include <optional>
#include <string>

namespace vetchpost {

/// The number of daemons, which the coordinator keeps in the key-value service for its successors. Used by one thread at a time.
class daemon_count_record
{
public:
    explicit daemon_count_record(key_value_service &service);

    /// Returns the recorded number; 0 if there is none, or one that is not written as this class writes it, and nothing if the service does
    /// not answer.
    std::optional<int> read();
    /// Records a number unless it is recorded already. If another daemon has recorded one meanwhile, or the service does not answer, the
    /// next call tries again.
    void write(int daemons);

private:
    key_value_service &m_service;
    /// What is known to be recorded, and the revision of that.
    std::optional<int> m_recorded;
    key_revision m_changed;
};

/// Returns the number of daemons written in a record; nothing if the text is none.
std::optional<int> parseDaemonCount(const std::string &text);

} // namespace vetchpost
