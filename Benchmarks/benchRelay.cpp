// SPDX-License-Identifier: Apache-2.0
// Measures what relaying a stream costs one daemon. A real vetchpostd runs between stand-in engines and clients, all as separate
// processes. This program plays the clients: it opens many streams on one thread, and reads the daemon's processor time and memory from
// /proc.
#include "Benchmarks/figure.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace vetchpost::bench;

constexpr auto usage = R"(The clients of the relay benchmark.

Usage:
  benchRelay [options] <address> <daemon-pid> <key>

Options:
  --streams N   Number of concurrent streams [default: 1100].
  --seconds N   Duration of the measurement [default: 10].
  --tokens N    Tokens per answer [default: 400].
  --name NAME   Suffix of the figures' names [default: ].
)";

/// Returns the user and system processor time that a process has used, in seconds.
double processorSecondsOf(long pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    constexpr int fieldsBefore = 11;
    for (int i = 0; i < fieldsBefore; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentKilobytesOf(long pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

struct open_stream
{
    Poco::Net::StreamSocket socket;
    bool isOpen = true;
    bool isComplete = false;
    std::string tail;
};

std::string requestText(const std::string &key, long tokens, int number)
{
    const auto body = fmt::format(
        R"({{"model":"filing-assistant","stream":true,"max_tokens":{},"messages":[{{"role":"user","content":"stream {}"}}]}})",
        tokens,
        number);
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {}\r\nContent-Type: application/json\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       key,
                       body.size(),
                       body);
}

/// Reads the available data of every open stream, after waiting up to \a waitMilliseconds for some. Returns the number of tokens read.
double readAll(std::vector<open_stream> &streams, int waitMilliseconds)
{
    std::vector<pollfd> sockets;
    sockets.reserve(streams.size());
    for (const auto &stream : streams) {
        sockets.push_back({stream.isOpen ? stream.socket.impl()->sockfd() : -1, POLLIN, 0});
    }
    poll(sockets.data(), sockets.size(), waitMilliseconds);
    double tokens = 0;
    std::array<char, 65536> buffer{};
    for (std::size_t i = 0; i < streams.size(); ++i) {
        if ((sockets[i].revents & (POLLIN | POLLHUP)) == 0) {
            continue;
        }
        auto &stream = streams[i];
        const auto count = read(sockets[i].fd, buffer.data(), buffer.size());
        if (count <= 0) {
            stream.isOpen = false;
            continue;
        }
        const std::string_view text(buffer.data(), static_cast<std::size_t>(count));
        for (auto at = text.find("\"delta\""); at != std::string_view::npos; at = text.find("\"delta\"", at + 1)) {
            ++tokens;
        }
        stream.tail = (stream.tail + std::string(text)).substr(std::max<std::size_t>(64, stream.tail.size() + text.size()) - 64);
        if (stream.tail.find("[DONE]") != std::string::npos) {
            stream.isComplete = true;
            stream.isOpen = false;
        }
    }
    return tokens;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const Poco::Net::SocketAddress address(arguments.at("<address>").asString());
    const auto pid = arguments.at("<daemon-pid>").asLong();
    const auto key = arguments.at("<key>").asString();
    const auto count = arguments.at("--streams").asLong();
    const auto name = arguments.at("--name").asString();
    const auto memoryBefore = residentKilobytesOf(pid);
    std::vector<open_stream> streams;
    streams.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        open_stream stream;
        stream.socket.connect(address);
        const auto text = requestText(key, arguments.at("--tokens").asLong(), i);
        stream.socket.sendBytes(text.data(), static_cast<int>(text.size()));
        streams.push_back(std::move(stream));
    }
    // Let all streams start before the measurement begins.
    const auto settleEnd = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < settleEnd) {
        readAll(streams, 20);
    }
    const auto processorBefore = processorSecondsOf(pid);
    double tokens = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments.at("--seconds").asLong());
    while (std::chrono::steady_clock::now() < end) {
        tokens += readAll(streams, 20);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const auto processor = processorSecondsOf(pid) - processorBefore;
    const auto memory = residentKilobytesOf(pid) - memoryBefore;
    long open = 0;
    for (const auto &stream : streams) {
        open += stream.isOpen ? 1 : 0;
    }
    fmt::print("{} of {} streams open at the end of the measurement, {} tokens\n", open, count, tokens);
    printFigure({"cpu_us_per_token" + name, processor * 1e6 / tokens, "us", {}, {}});
    printFigure({"kb_per_stream" + name, memory / static_cast<double>(count), "KB", {}, {}});
    return open == count ? 0 : 1;
}
