// SPDX-License-Identifier: Apache-2.0
// A crowd of clients that leave their requests unfinished, come back when they are turned away, or do not read their answers. One thread
// serves all of their connections.
#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/instant.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace vetchpost;

constexpr auto usage = R"(clientCrowd - clients that do not behave.

Prints "settled" once each connection has sent what it sends or has been closed, and after the last line the statuses that were received.

Usage:
  clientCrowd [options] ADDRESS

Options:
  --connections=<n>  Connections that are open at once [default: 60].
  --path=<path>      The path of each request [default: /fetch/crowd].
  --key=<key>        The API key of each request; without it the requests have none.
  --body=<bytes>     Bytes of each body that are sent [default: 0].
  --chunk=<bytes>    Bytes of each chunk [default: 262144].
  --sized            Bodies with a length instead of chunks.
  --whole            Bodies that end. Without it they stop short of their end and the connection stays open.
  --unread           Does not read the answers.
  --head=<bytes>     Requests whose head does not end: sends this many bytes of it at once, and no body [default: 0].
  --trickle-ms=<ms>  Goes on with one byte of the head per period; 0 for none [default: 0].
  --returns=<n>      Connections that are opened in place of closed ones, in all [default: 0].
  --settle-s=<s>     Says that the crowd has settled after this time at the latest [default: 60].
  --seconds=<s>      Ends after this time [default: 150].
)";

struct crowd_settings
{
    std::string bytes;
    bool readsAnswers = true;
    duration tricklePeriod{};
    int returnsLeft = 0;
};

struct client
{
    int descriptor = -1;
    std::size_t sent = 0;
    instant nextByte;
    std::string answer;

    bool isOpen() const
    {
        return descriptor >= 0;
    }
};

volatile std::sig_atomic_t isStopping = 0;

void stop(int /*signal*/)
{
    isStopping = 1;
}

long numberOf(std::map<std::string, docopt::value> &options, const char *name)
{
    return options[name].asLong();
}

std::string headOf(std::map<std::string, docopt::value> &options)
{
    auto head = "POST " + options["--path"].asString() + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nDeadline-Ms: 20000\r\n";
    if (options["--key"]) {
        head += "Authorization: Bearer " + options["--key"].asString() + "\r\n";
    }
    return head;
}

/// What each connection sends at once.
std::string bytesOf(std::map<std::string, docopt::value> &options)
{
    auto text = headOf(options);
    if (const auto headBytes = numberOf(options, "--head"); headBytes > 0) {
        constexpr std::size_t longestLine = 4000;
        while (text.size() < static_cast<std::size_t>(headBytes)) {
            text += "X-Field: " + std::string(longestLine, 'x') + "\r\n";
        }
        text.resize(static_cast<std::size_t>(headBytes));
        return text;
    }
    const auto body = static_cast<std::size_t>(numberOf(options, "--body"));
    const bool isWhole = options["--whole"].asBool();
    if (options["--sized"].asBool()) {
        return text + fmt::format("Content-Length: {}\r\n\r\n", isWhole ? body : body + 1) + std::string(body, 'x');
    }
    text += "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunk = static_cast<std::size_t>(numberOf(options, "--chunk"));
    for (std::size_t sent = 0; sent < body;) {
        const auto size = std::min(chunk, body - sent);
        text += fmt::format("{:x}\r\n", size);
        text.append(size, 'x');
        text += "\r\n";
        sent += size;
    }
    return isWhole ? text + "0\r\n\r\n" : text;
}

int connectTo(const sockaddr_in &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor >= 0 && connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

class client_crowd
{
public:
    client_crowd(const sockaddr_in &address, crowd_settings settings, int connections)
        : m_address(address)
        , m_settings(std::move(settings))
        , m_clients(static_cast<std::size_t>(connections))
    {
        for (auto &member : m_clients) {
            open(member);
        }
    }

    /// Sends and receives what is possible within a short time.
    void step()
    {
        constexpr int longestWait = 50;
        std::vector<pollfd> sockets;
        for (const auto &member : m_clients) {
            const auto wanted = (m_settings.readsAnswers ? POLLIN : 0) | (member.sent < m_settings.bytes.size() ? POLLOUT : 0);
            sockets.push_back({member.descriptor, static_cast<short>(wanted), 0});
        }
        poll(sockets.data(), sockets.size(), longestWait);
        const auto now = monotonicNow();
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            if (m_clients[i].isOpen()) {
                serve(m_clients[i], sockets[i].revents, now);
            }
        }
    }

    bool isSettled() const
    {
        for (const auto &member : m_clients) {
            if (member.isOpen() && member.sent < m_settings.bytes.size()) {
                return false;
            }
        }
        return true;
    }

    std::string summary() const
    {
        std::string text;
        int open = 0;
        for (const auto &member : m_clients) {
            open += member.isOpen() ? 1 : 0;
        }
        for (const auto &[answer, count] : m_answers) {
            text += fmt::format("{}: {}, ", answer, count);
        }
        return text + fmt::format("open: {}", open);
    }

private:
    void open(client &member)
    {
        member = client();
        member.descriptor = connectTo(m_address);
        member.nextByte = monotonicNow() + m_settings.tricklePeriod;
        if (!member.isOpen()) {
            ++m_answers["refused"];
        }
    }

    void serve(client &member, short events, instant now)
    {
        if ((events & POLLOUT) != 0 && !send(member, std::string_view(m_settings.bytes).substr(member.sent))) {
            end(member);
            return;
        }
        if (m_settings.tricklePeriod > duration() && member.sent >= m_settings.bytes.size() && now >= member.nextByte) {
            member.nextByte = now + m_settings.tricklePeriod;
            if (!send(member, "x")) {
                end(member);
                return;
            }
        }
        if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
            receive(member);
        }
    }

    static bool send(client &member, std::string_view bytes)
    {
        constexpr std::size_t mostAtOnce = 262144;
        const auto count = ::send(member.descriptor, bytes.data(), std::min(bytes.size(), mostAtOnce), MSG_NOSIGNAL);
        member.sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        // What was answered before the connection was closed can still be read.
        return count >= 0 || errno == EAGAIN || !member.answer.empty();
    }

    void receive(client &member)
    {
        std::array<char, 16384> bytes;
        const auto count = recv(member.descriptor, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            member.answer.append(bytes.data(), static_cast<std::size_t>(count));
            constexpr std::size_t mostKept = 256;
            member.answer.resize(std::min(member.answer.size(), mostKept));
        } else if (count == 0 || errno != EAGAIN) {
            end(member);
        }
    }

    void end(client &member)
    {
        constexpr std::size_t statusAt = 9;
        constexpr std::size_t statusDigits = 3;
        const bool hasStatus = member.answer.size() >= statusAt + statusDigits;
        ++m_answers[hasStatus ? member.answer.substr(statusAt, statusDigits) : "closed"];
        close(member.descriptor);
        member.descriptor = -1;
        if (m_settings.returnsLeft > 0) {
            --m_settings.returnsLeft;
            open(member);
        }
    }

    sockaddr_in m_address;
    crowd_settings m_settings;
    std::vector<client> m_clients;
    std::map<std::string, int> m_answers;
};

void say(const std::string &text)
{
    fmt::print("{}\n", text);
    std::fflush(stdout);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    auto options = docopt::docopt(usage, {arguments + 1, arguments + argumentCount}, true);
    const auto target = parseEndpoint(options["ADDRESS"].asString());
    if (!target) {
        fmt::print(stderr, "the address is not valid\n");
        return 2;
    }
    std::signal(SIGTERM, stop);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target->port);
    inet_pton(AF_INET, target->host.c_str(), &address.sin_addr);
    crowd_settings settings;
    settings.bytes = bytesOf(options);
    settings.readsAnswers = !options["--unread"].asBool();
    settings.tricklePeriod = duration(numberOf(options, "--trickle-ms"));
    settings.returnsLeft = static_cast<int>(numberOf(options, "--returns"));
    client_crowd crowd(address, settings, static_cast<int>(numberOf(options, "--connections")));
    const auto started = monotonicNow();
    bool hasSettled = false;
    while (isStopping == 0 && monotonicNow() - started < std::chrono::seconds(numberOf(options, "--seconds"))) {
        crowd.step();
        if (!hasSettled && (crowd.isSettled() || monotonicNow() - started > std::chrono::seconds(numberOf(options, "--settle-s")))) {
            hasSettled = true;
            say("settled");
        }
    }
    say(crowd.summary());
    return 0;
}
