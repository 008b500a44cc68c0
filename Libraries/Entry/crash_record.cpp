// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_record.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Base/json.h"
#include "Libraries/Feed/report_codec.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

constexpr event_log crashLog("crash");
constexpr auto keyField = "key";
constexpr auto refusedField = "refused";
constexpr auto writtenField = "written_ms";
/// How often it looks whether there is something to read or write.
constexpr duration evaluationPeriod(250);
/// Between two reads of a daemon that no other tells: half of the three seconds in which a refusal has to be known everywhere.
constexpr duration untoldReadPeriod(1500);
/// Between two reads while there is no key yet, and after a call without an answer.
constexpr duration retryPeriod(1000);

} // namespace

std::string encodeCrashNotes(const crash_notes &notes, std::int64_t calendarNow)
{
    Json::Value json;
    json[keyField] = notes.key.value();
    json[writtenField] = Json::Int64(calendarNow);
    json[refusedField] = Json::Value(Json::arrayValue);
    for (const auto &evidence : notes.refused) {
        json[refusedField].append(encodeSuspectReport(evidence));
    }
    return toJsonText(json);
}

std::optional<crash_notes> decodeCrashNotes(const std::string &text, std::int64_t calendarNow)
{
    const auto json = parseJson(text);
    const auto key = json && json->isObject() ? parseIdentityKey(jsonString(*json, keyField)) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    crash_notes notes{*key, {}};
    // Clocks of the calendar differ: what seems to be written in the future was written just now.
    const duration since(std::max<std::int64_t>(0, calendarNow - static_cast<std::int64_t>(jsonNumber(*json, writtenField))));
    for (const auto &entry : jsonArray(*json, refusedField)) {
        if (auto evidence = decodeSuspectReport(entry)) {
            evidence->age += since;
            notes.refused.push_back(std::move(*evidence));
        }
    }
    return notes;
}

struct crash_record::private_data
{
    key_value_service &keyValue;
    const crash_record_calls calls;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::optional<identity_key> key;
    std::thread thread;
    // Of the thread alone.
    key_revision known;
    /// It has read the notes since it became the source: only then it may write.
    bool mayWrite = false;
    instant nextRead;
    std::string written;

    private_data(key_value_service &service, crash_record_calls recordCalls)
        : keyValue(service)
        , calls(std::move(recordCalls))
    {
    }

    void run()
    {
        do {
            look(monotonicNow());
        } while (pause());
    }

    /// False once it stops.
    bool pause()
    {
        std::unique_lock lock(mutex);
        wake.wait_for(lock, evaluationPeriod, [this] { return isStopping; });
        return !isStopping;
    }

    void look(instant now)
    {
        const bool isSource = calls.isSource();
        mayWrite = mayWrite && isSource;
        const bool mustRead = isSource ? !mayWrite : !currentKey() || !calls.isTold();
        if (mayWrite) {
            writeIfChanged(now);
        } else if (mustRead && now >= nextRead) {
            mayWrite = read(isSource, now) && isSource;
        }
    }

    std::optional<identity_key> currentKey() const
    {
        const std::lock_guard lock(mutex);
        return key;
    }

    /// False where the notes could not be read.
    bool read(bool isSource, instant now)
    {
        reason why;
        const auto entry = keyValue.get(crashNotesKey, isSource ? read_freshness::current : read_freshness::may_be_stale, why);
        nextRead = now + (entry && currentKey() ? untoldReadPeriod : retryPeriod);
        if (!entry) {
            return false;
        }
        if (entry->changed == key_revision()) {
            return isSource && begin();
        }
        const auto notes = decodeCrashNotes(entry->value, calendarMilliseconds());
        if (!notes) {
            crashLog.write("notes_unreadable", {{"revision", entry->changed.value()}});
            return false;
        }
        known = entry->changed;
        take(*notes);
        return true;
    }

    void take(const crash_notes &notes)
    {
        {
            const std::lock_guard lock(mutex);
            key = notes.key;
        }
        calls.didRead(notes.refused);
    }

    bool begin()
    {
        const crash_notes notes{makeIdentityKey(), {}};
        const auto result = keyValue.compareAndSwap(crashNotesKey, key_revision(), encodeCrashNotes(notes, calendarMilliseconds()));
        if (result.outcome != swap_outcome::applied) {
            return false;
        }
        known = result.changed;
        take(notes);
        return true;
    }

    /// After any answer but the one that it is written the notes are read again first.
    void writeIfChanged(instant now)
    {
        crash_notes notes{*currentKey(), calls.lasting()};
        std::string content;
        for (const auto &evidence : notes.refused) {
            content += evidence.request.value() + ":" + std::to_string(evidence.round) + ":" + std::to_string(evidence.ends.size()) + " ";
        }
        if (content == written || now < nextRead) {
            return;
        }
        const auto result = keyValue.compareAndSwap(crashNotesKey, known, encodeCrashNotes(notes, calendarMilliseconds()));
        if (result.outcome == swap_outcome::applied) {
            known = result.changed;
            written = content;
            crashLog.write("notes_written", {{"refused", notes.refused.size()}, {"revision", known.value()}});
        } else {
            mayWrite = false;
            nextRead = now + evaluationPeriod;
        }
    }
};

crash_record::crash_record(key_value_service &keyValue, crash_record_calls calls)
    : d(std::make_unique<private_data>(keyValue, std::move(calls)))
{
}

crash_record::~crash_record()
{
    stop();
}

void crash_record::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void crash_record::stop()
{
    {
        const std::lock_guard lock(d->mutex);
        d->isStopping = true;
    }
    d->wake.notify_all();
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

std::optional<identity_key> crash_record::key() const
{
    return d->currentKey();
}

} // namespace vetchpost
