// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/crash_suspects.h"

#include <functional>
#include <memory>
#include <string>

namespace vetchpost {

/// What the key-value service keeps of crashing requests: the key that all daemons digest with, and the refused requests.
struct crash_notes
{
    identity_key key;
    std::vector<suspect_report> refused;
};

constexpr auto crashNotesKey = "vetchpost/crashing-requests";

std::string encodeCrashNotes(const crash_notes &notes, std::int64_t calendarNow);
/// Nothing where the text holds no key.
std::optional<crash_notes> decodeCrashNotes(const std::string &text, std::int64_t calendarNow);

/// What a daemon's part in keeping the notes depends on; all are called on the record's thread.
struct crash_record_calls
{
    /// Whether this daemon passes on what the service holds: it alone writes.
    std::function<bool()> isSource;
    /// Whether another daemon tells this one.
    std::function<bool()> isTold;
    std::function<void(const std::vector<suspect_report> &)> didRead;
    /// What is to last.
    std::function<std::vector<suspect_report>()> lasting;
};

/// Reads and writes the notes on a thread of its own. They outlast the end of all daemons at once.
class crash_record
{
public:
    crash_record(key_value_service &keyValue, crash_record_calls calls);
    ~crash_record();
    crash_record(const crash_record &) = delete;
    crash_record &operator=(const crash_record &) = delete;

    void start();
    void stop();
    /// Nothing before the notes were read or begun.
    std::optional<identity_key> key() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
