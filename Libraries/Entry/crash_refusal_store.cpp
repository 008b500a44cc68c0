// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/crash_refusal_store.h"

#include "Libraries/Base/event_log.h"
#include "Libraries/Base/json.h"
#include "Libraries/Feed/part_codec.h"
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
constexpr auto partsField = "parts";
constexpr auto writtenField = "written_ms";
/// How often the thread checks whether the record must be read or written.
constexpr duration checkPeriod(250);
/// The read period of a daemon that receives no feed: half of the three seconds within which a refusal must be known everywhere.
constexpr duration unfedReadPeriod(1500);
/// The read period while no digest key is known, and after a failed read.
constexpr duration retryPeriod(1000);

} // namespace

std::string encodeCrashRefusals(const crash_refusals &refusals, std::int64_t calendarNow)
{
    Json::Value json;
    json[keyField] = refusals.key.value();
    json[writtenField] = Json::Int64(calendarNow);
    json[refusedField] = Json::Value(Json::arrayValue);
    for (const auto &evidence : refusals.refused) {
        json[refusedField].append(encodeSuspectReport(evidence));
    }
    for (const auto &part : refusals.parts) {
        json[partsField].append(encodePartReport(part));
    }
    return toJsonText(json);
}

std::optional<crash_refusals> decodeCrashRefusals(const std::string &text, std::int64_t calendarNow)
{
    const auto json = parseJson(text);
    const auto key = json && json->isObject() ? parseIdentityKey(jsonString(*json, keyField)) : std::nullopt;
    if (!key) {
        return std::nullopt;
    }
    crash_refusals refusals{*key, {}};
    // Calendar clocks differ between machines: a time of writing in the future counts as now.
    const duration since(std::max<std::int64_t>(0, calendarNow - static_cast<std::int64_t>(jsonNumber(*json, writtenField))));
    for (const auto &entry : jsonArray(*json, refusedField)) {
        if (auto evidence = decodeSuspectReport(entry)) {
            evidence->age += since;
            refusals.refused.push_back(std::move(*evidence));
        }
    }
    for (const auto &entry : jsonArray(*json, partsField)) {
        if (auto part = decodePartReport(entry)) {
            std::for_each(part->ends.begin(), part->ends.end(), [&](reported_end &end) { end.age += since; });
            refusals.parts.push_back(std::move(*part));
        }
    }
    return refusals;
}

struct crash_refusal_store::private_data
{
    key_value_service &keyValue;
    const crash_refusal_callbacks callbacks;
    mutable std::mutex mutex;
    std::condition_variable wake;
    bool isStopping = false;
    std::optional<identity_key> key;
    std::thread thread;
    // The members below are used by the thread only.
    /// The revision of the record that was last read or written.
    key_revision known;
    /// This daemon is the source and has read the record since it became the source.
    bool mayWrite = false;
    instant nextRead;
    /// A summary of the content that was last written.
    std::string written;

    private_data(key_value_service &service, crash_refusal_callbacks storeCallbacks)
        : keyValue(service)
        , callbacks(std::move(storeCallbacks))
    {
    }

    void run()
    {
        do {
            update(monotonicNow());
        } while (pause());
    }

    /// Waits for the check period. Returns false if the store is stopping.
    bool pause()
    {
        std::unique_lock lock(mutex);
        wake.wait_for(lock, checkPeriod, [this] { return isStopping; });
        return !isStopping;
    }

    /// Reads or writes the record if that is due.
    void update(instant now)
    {
        const bool isSource = callbacks.isSource();
        // A service that came back from an older copy may have lost what was written.
        mayWrite = mayWrite && isSource && known.era() == keyValue.era();
        const bool mustRead = isSource ? !mayWrite : !currentKey() || !callbacks.isFed();
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

    /// Reads the record; the source creates it if there is none. Returns false if there is no readable record.
    bool read(bool isSource, instant now)
    {
        reason why;
        const auto entry = keyValue.get(crashRefusalsKey, isSource ? read_freshness::current : read_freshness::may_be_stale, why);
        nextRead = now + (entry && currentKey() ? unfedReadPeriod : retryPeriod);
        if (!entry) {
            return false;
        }
        if (entry->changed == key_revision()) {
            return isSource && create();
        }
        const auto refusals = decodeCrashRefusals(entry->value, calendarMilliseconds());
        if (!refusals) {
            crashLog.write("notes_unreadable", {{"revision", entry->changed.number()}});
            return false;
        }
        known = entry->changed;
        written = summaryOf(*refusals);
        apply(*refusals);
        return true;
    }

    /// Returns a text that changes with the content of a record.
    static std::string summaryOf(const crash_refusals &refusals)
    {
        std::string content;
        for (const auto &part : refusals.parts) {
            content += part.key.model.value() + "/" + part.key.part.value() + ":" + std::to_string(part.round) + ":"
                + std::to_string(part.ends.size()) + " ";
        }
        for (const auto &evidence : refusals.refused) {
            content += evidence.request.value() + ":" + std::to_string(evidence.round) + ":" + std::to_string(evidence.ends.size()) + " ";
        }
        return content;
    }

    /// Adopts the digest key and passes the refused requests on.
    void apply(const crash_refusals &refusals)
    {
        {
            const std::lock_guard lock(mutex);
            key = refusals.key;
        }
        callbacks.didRead(refusals);
    }

    /// Creates the record, with a new digest key unless one is known. Returns false if that failed, for example because another daemon was
    /// faster.
    bool create()
    {
        const crash_refusals refusals{currentKey().value_or(makeIdentityKey()), {}, {}};
        const auto result
            = keyValue.compareAndSwap(crashRefusalsKey, key_revision(), encodeCrashRefusals(refusals, calendarMilliseconds()));
        if (result.outcome != swap_outcome::applied) {
            return false;
        }
        known = result.changed;
        written.clear();
        apply(refusals);
        return true;
    }

    /// Writes the record if its content has changed. After any result but success the record is read again before the next write.
    void writeIfChanged(instant now)
    {
        crash_refusals refusals{*currentKey(), {}, {}};
        callbacks.fillRefusals(refusals);
        const auto content = summaryOf(refusals);
        if (content == written || now < nextRead) {
            return;
        }
        const auto result = keyValue.compareAndSwap(crashRefusalsKey, known, encodeCrashRefusals(refusals, calendarMilliseconds()));
        if (result.outcome == swap_outcome::applied) {
            known = result.changed;
            written = content;
            crashLog.write("notes_written",
                           {{"refused", refusals.refused.size()}, {"parts", refusals.parts.size()}, {"revision", known.number()}});
        } else {
            mayWrite = false;
            nextRead = now + checkPeriod;
        }
    }
};

crash_refusal_store::crash_refusal_store(key_value_service &keyValue, crash_refusal_callbacks callbacks)
    : d(std::make_unique<private_data>(keyValue, std::move(callbacks)))
{
}

crash_refusal_store::~crash_refusal_store()
{
    stop();
}

void crash_refusal_store::start()
{
    d->thread = std::thread([this] { d->run(); });
}

void crash_refusal_store::stop()
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

std::optional<identity_key> crash_refusal_store::key() const
{
    return d->currentKey();
}

} // namespace vetchpost
