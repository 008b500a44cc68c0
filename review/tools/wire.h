// Small stand-ins of a client, a plain replica and the operator for the cases in review/. Loopback only. See each case's claim.txt.
#pragma once

#include <json/json.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;

inline std::int64_t nowMs()
{
    static const auto start = clock_type::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - start).count();
}

inline void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The record of what was sent, answered and run; one line an event.
class record_file
{
public:
    explicit record_file(const std::string &path) : m_out(path, std::ios::trunc) {}
    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        m_out << nowMs() << " ms  " << line << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

// Sockets.

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenAt(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline int connectTo(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// HTTP.

struct message
{
    std::string first;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool isWhole = false;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string path() const
    {
        const auto start = first.find(' ');
        return start == std::string::npos ? "" : first.substr(start + 1, first.find(' ', start + 1) - start - 1);
    }
};

/// Reads messages from one connection.
class reader
{
public:
    explicit reader(int fd) : m_fd(fd) {}

    /// Reads one message. isWhole is false if the connection ended or the time passed before its end. \a first is empty if nothing came.
    message read(int timeoutMs, bool isAnswer)
    {
        message result;
        const auto until = nowMs() + timeoutMs;
        std::string line;
        if (!readLine(line, until)) {
            return result;
        }
        result.first = line;
        while (readLine(line, until) && !line.empty()) {
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                return result;
            }
            std::string name = line.substr(0, colon);
            for (auto &letter : name) {
                letter = static_cast<char>(tolower(letter));
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.headers[name] = value;
        }
        if (!line.empty()) {
            return result;
        }
        if (result.header("transfer-encoding") == "chunked") {
            for (;;) {
                if (!readLine(line, until)) {
                    return result;
                }
                const auto size = std::strtoul(line.c_str(), nullptr, 16);
                if (size == 0) {
                    result.isWhole = readLine(line, until) && line.empty();
                    return result;
                }
                std::string piece;
                const bool isThere = readBytes(piece, size, until);
                result.body += piece;
                if (!isThere || !readLine(line, until)) {
                    return result;
                }
            }
        }
        const auto length = result.header("content-length");
        if (!length.empty()) {
            result.isWhole = readBytes(result.body, std::strtoul(length.c_str(), nullptr, 10), until);
        } else if (isAnswer) {
            while (more(until)) {
            }
            result.body = m_buffer;
            m_buffer.clear();
            result.isWhole = m_hasEnded;
        } else {
            result.isWhole = true;
        }
        return result;
    }

    bool hasEnded() const { return m_hasEnded; }

private:
    bool more(std::int64_t until)
    {
        pollfd ready{m_fd, POLLIN, 0};
        const auto left = until - nowMs();
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_hasEnded = count == 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readLine(std::string &line, std::int64_t until)
    {
        for (;;) {
            const auto end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return true;
            }
            if (!more(until)) {
                return false;
            }
        }
    }

    bool readBytes(std::string &into, std::size_t count, std::int64_t until)
    {
        while (m_buffer.size() < count) {
            if (!more(until)) {
                into += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        into += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    int m_fd;
    std::string m_buffer;
    bool m_hasEnded = false;
};

/// Makes one call on a connection of its own.
inline message call(int port, const std::string &request, int timeoutMs = 3000)
{
    const int fd = connectTo(port);
    if (fd < 0) {
        return {};
    }
    sendAll(fd, request);
    auto answer = reader(fd).read(timeoutMs, true);
    close(fd);
    return answer;
}

// The operator and the replicas' entries, in the store's stand-in.

inline std::string base64(const std::string &bytes)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            result += i + k > bytes.size() ? '=' : letters[group >> (18U - 6U * k) & 63U];
        }
    }
    return result;
}

inline std::string compact(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

/// Writes a key as the operator or a replica does; an empty value removes it. Returns whether the store has acknowledged it.
inline bool putKey(int store, const std::string &key, const std::string &value)
{
    Json::Value body;
    body["ExpectedRev"] = Json::Value(Json::arrayValue);
    body["SetKeys"] = Json::Value(Json::arrayValue);
    body["Delete"] = Json::Value(Json::arrayValue);
    if (value.empty()) {
        body["Delete"].append(key);
    } else {
        Json::Value write;
        write["Key"] = key;
        write["Value"] = base64(value);
        write["Lease"] = 0;
        body["SetKeys"].append(write);
    }
    const auto text = compact(body);
    const auto answer = call(store,
                             "POST /kv-txn HTTP/1.1\r\nHost: store\r\nX-Stand-In: yes\r\nContent-Type: application/json\r\nConnection: close\r\n"
                             "Content-Length: "
                                 + std::to_string(text.size()) + "\r\n\r\n" + text);
    return answer.status() == 200;
}

inline bool isReady(int port) { return call(port, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1000).status() == 200; }

/// A sound replica of a plain service. It begins what it has read whole, at once, and answers after the time that the work takes. If
/// doesDrop is set, it drops a request whose connection closes before that, as most replicas do.
class plain_replica
{
public:
    plain_replica(int port, std::string id, std::string service, int store, record_file &record, int workMs, bool doesDrop)
        : m_port(port), m_id(std::move(id)), m_service(std::move(service)), m_store(store), m_record(record), m_workMs(workMs), m_doesDrop(doesDrop)
    {
        m_listener = listenAt(port);
        if (m_listener < 0) {
            std::fprintf(stderr, "port %d is in use\n", port);
            std::exit(2);
        }
        std::thread([this] { accept(); }).detach();
        std::thread([this] { beat(); }).detach();
    }

    struct run
    {
        std::string attempt;
        std::string body;
    };

    std::vector<run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    const std::string &id() const { return m_id; }

private:
    void beat()
    {
        for (int seq = 1;; ++seq) {
            Json::Value entry;
            entry["Service"] = m_service;
            entry["Address"] = "127.0.0.1:" + std::to_string(m_port);
            entry["Zone"] = "ikeja";
            entry["Version"] = "1";
            entry["Slots"] = 6;
            entry["State"] = "ready";
            entry["ColdLeftMs"] = 0;
            entry["Seq"] = seq;
            putKey(m_store, "servers/" + m_id, compact(entry));
            sleepMs(1200);
        }
    }

    void accept()
    {
        for (;;) {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            if (fd >= 0) {
                std::thread([this, fd] { serve(fd); }).detach();
            }
        }
    }

    void serve(int fd)
    {
        reader in(fd);
        for (;;) {
            const auto request = in.read(20000, false);
            if (!request.isWhole) {
                break;
            }
            if (!answer(fd, request)) {
                break;
            }
        }
        close(fd);
    }

    bool answer(int fd, const message &request)
    {
        const auto attempt = request.header("attempt-id");
        const auto expected = request.header("expect-instance");
        std::string head = "Content-Type: text/plain\r\nInstance-Id: " + m_id + "\r\n";
        if (request.path() == "/healthz" || request.path() == "/report") {
            return sendAll(fd, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\n{}");
        }
        head += "Attempt-Id: " + attempt + "\r\n";
        if (!expected.empty() && expected != m_id) {
            return sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({attempt, request.body});
        }
        m_record.write("replica " + m_id + " runs " + attempt + " " + request.first + ", body of " + std::to_string(request.body.size())
                       + " bytes");
        for (const auto until = nowMs() + m_workMs; nowMs() < until;) {
            char byte = 0;
            const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (count == 0 && m_doesDrop) {
                m_record.write("replica " + m_id + " drops " + attempt + ": its connection was closed after the work had begun");
                return false;
            }
            sleepMs(5);
        }
        const std::string body = "{\"attempt\":\"" + attempt + "\",\"bytes\":" + std::to_string(request.body.size()) + "}";
        m_record.write("replica " + m_id + " has finished " + attempt);
        return sendAll(fd,
                       "HTTP/1.1 200 OK\r\n" + head + "Server-Stamp: " + m_id + "." + attempt + "\r\nContent-Length: "
                           + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    int m_port;
    std::string m_id;
    std::string m_service;
    int m_store;
    record_file &m_record;
    int m_workMs;
    bool m_doesDrop;
    int m_listener = -1;
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
};

inline std::string plainConfiguration(int version, const std::string &key)
{
    return "{\"Version\":" + std::to_string(version)
        + ",\"Routes\":["
          "{\"Name\":\"record-fetch\",\"Host\":\"desk.example\",\"PathPrefix\":\"/record/\",\"RouteType\":\"non_idempotent\","
          "\"TimeoutMs\":2000,\"SloMs\":300,\"Priority\":2,\"Service\":\"portal\",\"MaxAttempts\":1,\"Public\":false},"
          "{\"Name\":\"receipt-fetch\",\"Host\":\"desk.example\",\"PathPrefix\":\"/receipt/\",\"RouteType\":\"idempotent\","
          "\"TimeoutMs\":2000,\"SloMs\":300,\"Priority\":2,\"Service\":\"portal\",\"MaxAttempts\":2,\"Public\":false}],"
          "\"Services\":[{\"Name\":\"portal\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
          "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
          "\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\""
        + key + "\"],\"Priority\":1}]}";
}

} // namespace review
