// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"
#include "Libraries/Requests/crash_suspects.h"
#include "Libraries/Requests/part_suspects.h"

#include <functional>
#include <memory>
#include <string>

namespace vetchpost {

/// The record of crashing requests in the key-value service: the digest key that all daemons share, the refused requests and the refused
/// parts of prompts.
struct crash_refusals
{
    identity_key key;
    std::vector<suspect_report> refused;
    std::vector<part_report> parts = {};
};

constexpr auto crashRefusalsKey = "vetchpost/crashing-requests";

/// Encodes the record with its time of writing, \a calendarNow in milliseconds.
std::string encodeCrashRefusals(const crash_refusals &refusals, std::int64_t calendarNow);
/// Decodes a record and adds the time since it was written to the age of its evidence. Invalid entries are skipped. Returns nothing if the
/// text holds no valid digest key.
std::optional<crash_refusals> decodeCrashRefusals(const std::string &text, std::int64_t calendarNow);

/// Callbacks of a crash_refusal_store. All are called on the store's thread.
struct crash_refusal_callbacks
{
    /// Whether this daemon is the source of the feed between daemons. Only the source writes the record.
    std::function<bool()> isSource;
    /// Whether this daemon receives the feed from another daemon.
    std::function<bool()> isFed;
    /// Receives a record that was read.
    std::function<void(const crash_refusals &)> didRead;
    /// Fills in what is to be written, except for the key.
    std::function<void(crash_refusals &)> fillRefusals;
};

/// Reads and writes the record of crashing requests on a thread of its own. The record survives a simultaneous end of all daemons.
class crash_refusal_store
{
public:
    crash_refusal_store(key_value_service &keyValue, crash_refusal_callbacks callbacks);
    ~crash_refusal_store();
    crash_refusal_store(const crash_refusal_store &) = delete;
    crash_refusal_store &operator=(const crash_refusal_store &) = delete;

    void start();
    void stop();
    /// The digest key; empty until the record has been read or created.
    std::optional<identity_key> key() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
