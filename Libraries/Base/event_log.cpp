// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/event_log.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"
#include "Libraries/Base/line_budget.h"

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

/// About a thousand lines; a burst beyond it is counted and left out.
constexpr std::size_t maximumQueuedBytes = 256U * 1024U;
/// Lines are gathered for so long, so that many go out with one system call.
constexpr duration gatherTime(200);
/// How long the writer waits for a reader that is too slow before it looks whether it should stop.
constexpr duration readerPatience(500);
/// How often what is gathered elsewhere is asked for.
constexpr duration gatheredPeriod(500);
/// How often it is told what was left out.
constexpr duration leftOutPeriod(1000);

struct part_budget
{
    line_budget budget;
    std::uint64_t leftOut = 0;
    std::uint64_t toldLeftOut = 0;
};

struct log_queue
{
    std::mutex mutex;
    std::condition_variable wake;
    std::string lines;
    std::string daemon;
    /// By part.
    std::map<std::string, part_budget, std::less<>> parts;
    instant nextTold;
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

/// Writes as far as the reader takes it; the rest is given up once the process stops.
void writeOut(log_queue &log, std::string_view text)
{
    while (!text.empty()) {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const auto ready = poll(&output, 1, static_cast<int>(readerPatience.count()));
        if (ready <= 0) {
            const std::lock_guard lock(log.mutex);
            if (log.isStopping) {
                return;
            }
            continue;
        }
        // A pipe that can be written to takes so much without blocking.
        const auto count = ::write(STDOUT_FILENO, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            // The reader is gone: nobody is left to tell.
            return;
        }
        text.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
}

/// The mutex is held.
void append(log_queue &log, std::string_view part, std::string_view event, std::string_view fields)
{
    // The steady clock orders the lines of one process; the calendar one relates those of several.
    log.lines += fmt::format("{{\"ms\":{},\"steady_ms\":{},\"daemon\":{},\"part\":\"{}\",\"event\":\"{}\"{}}}\n",
                             calendarMilliseconds(),
                             monotonicNow().time_since_epoch().count(),
                             quotedJson(log.daemon),
                             part,
                             event,
                             fields);
}

/// The mutex is held. What was left out is told beyond all bounds: one line a part, seldom.
void tellLeftOut(log_queue &log)
{
    const auto now = monotonicNow();
    if (now < log.nextTold && !log.isStopping) {
        return;
    }
    log.nextTold = now + leftOutPeriod;
    for (auto &[part, lines] : log.parts) {
        if (lines.leftOut != lines.toldLeftOut) {
            append(log, "log", "lines_left_out", fmt::format(",\"of\":\"{}\",\"count\":{}", part, lines.leftOut - lines.toldLeftOut));
            lines.toldLeftOut = lines.leftOut;
        }
    }
}

void run(log_queue &log)
{
    for (bool isStopping = false; !isStopping;) {
        {
            std::unique_lock lock(log.mutex);
            log.wake.wait_for(lock, gatheredPeriod, [&] { return log.isStopping || !log.lines.empty(); });
            if (!log.isStopping) {
                log.wake.wait_for(lock, gatherTime, [&] { return log.isStopping; });
            }
            isStopping = log.isStopping;
        }
        if (log.beforeWriting) {
            log.beforeWriting();
        }
        std::string lines;
        {
            const std::lock_guard lock(log.mutex);
            tellLeftOut(log);
            lines.swap(log.lines);
        }
        writeOut(log, lines);
    }
}

void write(std::string_view part, std::string_view event, std::initializer_list<event_field> fields, line_weight weight)
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
        found = log.parts.emplace(part, part_budget()).first;
    }
    auto &lines = found->second;
    if (!hasRoom(log.lines.size(), line.size(), maximumQueuedBytes, weight) || !takeLine(lines.budget, weight, monotonicNow())) {
        ++lines.leftOut;
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
    vetchpost::write(m_part, event, fields, line_weight::budgeted);
}

void event_log::writeKept(std::string_view event, std::initializer_list<event_field> fields) const
{
    vetchpost::write(m_part, event, fields, line_weight::kept);
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
    for (const auto &[part, leftOut] : droppedLogLinesByPart()) {
        count += leftOut;
    }
    return count;
}

std::map<std::string, std::uint64_t> droppedLogLinesByPart()
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    std::map<std::string, std::uint64_t> counts;
    for (const auto &[part, lines] : log.parts) {
        counts.emplace(part, lines.leftOut);
    }
    return counts;
}

} // namespace vetchpost
