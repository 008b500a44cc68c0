// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/event_log.h"

#include "Libraries/Base/instant.h"
#include "Libraries/Base/json.h"

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

struct log_queue
{
    std::mutex mutex;
    std::condition_variable wake;
    std::string lines;
    std::string daemon;
    std::atomic<std::uint64_t> dropped = 0;
    std::uint64_t toldDropped = 0;
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

void run(log_queue &log)
{
    for (bool isStopping = false; !isStopping;) {
        std::string lines;
        {
            std::unique_lock lock(log.mutex);
            log.wake.wait(lock, [&] { return log.isStopping || !log.lines.empty(); });
            if (!log.isStopping) {
                log.wake.wait_for(lock, gatherTime, [&] { return log.isStopping; });
            }
            isStopping = log.isStopping;
            lines.swap(log.lines);
            const auto dropped = log.dropped.load();
            if (dropped != log.toldDropped) {
                lines += fmt::format("{{\"part\":\"log\",\"event\":\"lines_left_out\",\"daemon\":{},\"count\":{}}}\n",
                                     quotedJson(log.daemon),
                                     dropped - log.toldDropped);
                log.toldDropped = dropped;
            }
        }
        writeOut(log, lines);
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
    auto &log = queue();
    std::string line;
    for (const auto &field : fields) {
        line += fmt::format(",\"{}\":", field.name);
        field.value.appendTo(line);
    }
    const std::lock_guard lock(log.mutex);
    if (log.lines.size() + line.size() > maximumQueuedBytes) {
        log.dropped.fetch_add(1);
        return;
    }
    // The steady clock orders the lines of one process; the calendar one relates those of several.
    log.lines += fmt::format("{{\"ms\":{},\"steady_ms\":{},\"daemon\":{},\"part\":\"{}\",\"event\":\"{}\"{}}}\n",
                             calendarMilliseconds(),
                             monotonicNow().time_since_epoch().count(),
                             quotedJson(log.daemon),
                             m_part,
                             event,
                             line);
    if (log.isRunning) {
        log.wake.notify_one();
    }
}

void setEventLogDaemon(const std::string &daemon)
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    log.daemon = daemon;
}

void startEventLog()
{
    auto &log = queue();
    const std::lock_guard lock(log.mutex);
    if (!log.isRunning) {
        log.isRunning = true;
        log.isStopping = false;
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
    return queue().dropped.load();
}

} // namespace vetchpost
