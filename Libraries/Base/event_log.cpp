// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/event_log.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"
#include "Libraries/Base/line_rate_limit.h"

#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <climits>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace vetchpost {

namespace {

/// The size of the queue, about a thousand lines. Lines beyond it are dropped and counted.
constexpr std::size_t maximumQueuedBytes = 256U * 1024U;
/// The time for which lines are collected, so that one system call writes many of them.
constexpr duration batchDelay(200);
/// The time that the writer waits for a slow reader before it checks whether it should stop.
constexpr duration readerPollTimeout(500);
/// The longest time that the writer waits for a line before it starts a batch.
constexpr duration collectPeriod(500);
/// The time between two reports of dropped lines.
constexpr duration dropReportPeriod(1000);

struct part_state
{
    line_rate_limit rateLimit;
    std::uint64_t dropped = 0;
    std::uint64_t reportedDropped = 0;
};

struct log_queue
{
    std::mutex mutex;
    std::condition_variable wake;
    std::string lines;
    std::string daemon;
    /// By name of the part.
    std::map<std::string, part_state, std::less<>> parts;
    instant nextDropReport;
    std::function<void()> beforeWriting;
    std::atomic<bool> isOn = true;
    bool isStopping = false;
    bool isRunning = false;
    std::thread writer;
};

log_queue &queue()
{
    // Never destroyed: threads that outlive main() may still log.
    static auto *instance = new log_queue;
    return *instance;
}

/// Writes \a text to standard output as fast as it is read. Discards the rest once the log is stopping and the reader does not keep up.
void writeToOutput(log_queue &log, std::string_view text)
{
    while (!text.empty()) {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const auto ready = poll(&output, 1, static_cast<int>(readerPollTimeout.count()));
        if (ready <= 0) {
            const std::lock_guard lock(log.mutex);
            if (log.isStopping) {
                return;
            }
            continue;
        }
        // A writable pipe accepts PIPE_BUF bytes without blocking.
        const auto count = ::write(STDOUT_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            // The reader has closed the pipe.
            return;
        }
        text.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
}

/// Appends a line to the queue. The caller must hold the mutex.
void append(log_queue &log, std::string_view part, std::string_view event, std::string_view fields)
{
    // The monotonic time orders the lines of one process; the calendar time relates the lines of several processes.
    log.lines += fmt::format("{{\"ms\":{},\"steady_ms\":{},\"daemon\":{},\"part\":\"{}\",\"event\":\"{}\"{}}}\n",
                             calendarMilliseconds(),
                             monotonicNow().time_since_epoch().count(),
                             quotedJson(log.daemon),
                             part,
                             event,
                             fields);
}

/// Appends a line with the number of dropped lines for each part that has dropped any since the last report. These lines are exempt from
/// the rate limits and the size of the queue, as there is at most one per part and reporting period. The caller must hold the mutex.
void reportDroppedLines(log_queue &log)
{
    const auto now = monotonicNow();
    if (now < log.nextDropReport && !log.isStopping) {
        return;
    }
    log.nextDropReport = now + dropReportPeriod;
    for (auto &[part, lines] : log.parts) {
        if (lines.dropped != lines.reportedDropped) {
            append(log, "log", "lines_left_out", fmt::format(",\"of\":\"{}\",\"count\":{}", part, lines.dropped - lines.reportedDropped));
            lines.reportedDropped = lines.dropped;
        }
    }
}

void run(log_queue &log)
{
    for (bool isStopping = false; !isStopping;) {
        {
            std::unique_lock lock(log.mutex);
            log.wake.wait_for(lock, collectPeriod, [&] { return log.isStopping || !log.lines.empty(); });
            if (!log.isStopping) {
                log.wake.wait_for(lock, batchDelay, [&] { return log.isStopping; });
            }
            isStopping = log.isStopping;
        }
        if (log.beforeWriting) {
            log.beforeWriting();
        }
        std::string lines;
        {
            const std::lock_guard lock(log.mutex);
            reportDroppedLines(log);
            lines.swap(log.lines);
        }
        writeToOutput(log, lines);
    }
}

void write(std::string_view part, std::string_view event, std::initializer_list<event_field> fields, line_priority priority)
{
    auto &log = queue();
    if (!log.isOn) {
        return;
    }
    std::string line;
    for (const auto &field : fields) {
        line += fmt::format(",\"{}\":", field.name);
        field.value.appendTo(line);
    }
    const std::lock_guard lock(log.mutex);
    auto found = log.parts.find(part);
    if (found == log.parts.end()) {
        found = log.parts.emplace(part, part_state()).first;
    }
    auto &lines = found->second;
    if (!fitsInQueue(log.lines.size(), line.size(), maximumQueuedBytes, priority)
        || !admitLine(lines.rateLimit, priority, monotonicNow())) {
        ++lines.dropped;
        return;
    }
    const bool isFirst = log.lines.empty();
    append(log, part, event, line);
    if (log.isRunning && isFirst) {
        log.wake.notify_one();
    }
}

} // namespace

void event_value::appendTo(std::string &line) const
{
    std::visit(
        [&](const auto &value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, std::string>) {
                line += quotedJson(value);
            } else {
                line += fmt::format("{}", value);
            }
        },
        m_value);
}

void event_log::write(std::string_view event, std::initializer_list<event_field> fields) const
{
    vetchpost::write(m_part, event, fields, line_priority::normal);
}

void event_log::writeEssential(std::string_view event, std::initializer_list<event_field> fields) const
{
    vetchpost::write(m_part, event, fields, line_priority::essential);
}

void setEventLogOn(bool isOn)
{
    queue().isOn = isOn;
}

void setEventLogDaemon(const std::string &daemon)
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    log.daemon = daemon;
}

void startEventLog(std::function<void()> beforeWriting)
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    if (!log.isRunning) {
        log.isRunning = true;
        log.isStopping = false;
        log.beforeWriting = std::move(beforeWriting);
        log.writer = std::thread([&log] { run(log); });
    }
}

void stopEventLog()
{
    auto &log = queue();
    {
        const std::lock_guard lock(log.mutex);
        if (!log.isRunning) {
            return;
        }
        log.isStopping = true;
        log.isRunning = false;
    }
    log.wake.notify_all();
    log.writer.join();
}

std::uint64_t droppedLogLines()
{
    std::uint64_t count = 0;
    for (const auto &[part, dropped] : droppedLogLinesByPart()) {
        count += dropped;
    }
    return count;
}

std::map<std::string, std::uint64_t> droppedLogLinesByPart()
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    std::map<std::string, std::uint64_t> counts;
    for (const auto &[part, lines] : log.parts) {
        counts.emplace(part, lines.dropped);
    }
    return counts;
}

} // namespace vetchpost
