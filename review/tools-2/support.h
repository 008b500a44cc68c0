// Functions that the drivers of review/4 to review/6 share: processes, HTTP on loopback, a gate in front of the store, the platform's store as the
// operator and the replicas write to it, and the record of a run. Only sockets and the jsoncpp library that the project uses already.
#pragma once

#include <json/json.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline const std::int64_t startedAt = nowMs();

inline void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

// The record of the run.

inline FILE *recordFile = nullptr;
inline std::mutex recordMutex;

inline void record(const char *format, ...)
{
    std::va_list arguments;
    va_start(arguments, format);
    char text[2048];
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(recordMutex);
    for (auto *out : {recordFile, stdout}) {
        if (out != nullptr) {
            std::fprintf(out, "%8.3f %s\n", static_cast<double>(nowMs() - startedAt) / 1000, text);
            std::fflush(out);
        }
    }
}

// Processes. All that were started are killed by their ids at the end of the run.

inline std::mutex processMutex;
inline std::map<std::string, pid_t> processes;
inline bool isEnding = false;
/// The temporary folder of the run, removed at its end.
inline std::string workFolder;

inline void stopAll()
{
    const std::lock_guard lock(processMutex);
    isEnding = true;
    for (const auto &[name, id] : processes) {
        kill(id, SIGCONT);
        kill(id, SIGKILL);
    }
    for (const auto &[name, id] : processes) {
        waitpid(id, nullptr, 0);
    }
    processes.clear();
}

[[noreturn]] inline void finish(int code, const std::string &why)
{
    static std::mutex once;
    // Never released: the first call ends the process.
    once.lock();
    record("RESULT %s: %s", code == held ? "held" : code == broken ? "BROKEN" : "could not run", why.c_str());
    stopAll();
    std::error_code ignored;
    std::filesystem::remove_all(workFolder, ignored);
    std::_Exit(code);
}

inline void start(const std::string &name, const std::vector<std::string> &command, const std::string &log, const std::string &settings = "")
{
    std::vector<char *> arguments;
    for (const auto &part : command) {
        arguments.push_back(const_cast<char *>(part.c_str()));
    }
    arguments.push_back(nullptr);
    const std::lock_guard lock(processMutex);
    if (isEnding) {
        return;
    }
    const auto id = fork();
    if (id == 0) {
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        if (!settings.empty()) {
            setenv("VETCHPOST_SETTINGS", settings.c_str(), 1);
        }
        // Ends with the driver, also when that is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        execv(arguments[0], arguments.data());
        std::_Exit(127);
    }
    processes[name] = id;
}

// Sockets and HTTP.

inline sockaddr_in addressOf(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(socket);
        return -1;
    }
    const int one = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return socket;
}

inline int listenAt(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = addressOf(port);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(socket, 256) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

/// A range of ports below the ephemeral ones, at which nobody listens.
inline int freePorts(int count)
{
    std::random_device random;
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int base = 20000 + static_cast<int>(random() % 10000);
        bool isFree = true;
        for (int port = base; port < base + count && isFree; ++port) {
            const int socket = listenAt(port);
            isFree = socket >= 0;
            if (isFree) {
                close(socket);
            }
        }
        if (isFree) {
            return base;
        }
    }
    finish(couldNotRun, "no free ports");
}

inline bool sendAll(int socket, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct reply
{
    /// 0 if the connection ended or the time was over before a whole head.
    int status = 0;
    std::string head;
    std::string body;
    /// The whole body arrived.
    bool isWhole = false;
    bool isTimeout = false;

    std::string header(const std::string &name) const
    {
        std::istringstream lines(head);
        for (std::string line; std::getline(lines, line);) {
            if (line.size() > name.size() && line[name.size()] == ':' && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
                auto value = line.substr(name.size() + 1);
                value.erase(0, value.find_first_not_of(' '));
                value.erase(value.find_last_not_of("\r ") + 1);
                return value;
            }
        }
        return {};
    }
};

/// Reads one answer. A connection can be used again afterwards.
inline reply readReply(int socket, std::int64_t timeout)
{
    reply result;
    std::string bytes;
    const auto until = nowMs() + timeout;
    const auto more = [&] {
        pollfd waiting{socket, POLLIN, 0};
        const auto left = std::max<std::int64_t>(0, until - nowMs());
        if (poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            result.isTimeout = true;
            return false;
        }
        char buffer[65536];
        const auto count = recv(socket, buffer, sizeof buffer, 0);
        if (count > 0) {
            bytes.append(buffer, static_cast<std::size_t>(count));
        }
        return count > 0;
    };
    std::size_t end = std::string::npos;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return result;
        }
    }
    result.head = bytes.substr(0, end + 2);
    bytes.erase(0, end + 4);
    result.status = std::atoi(result.head.c_str() + std::min<std::size_t>(9, result.head.size()));
    const auto length = result.header("Content-Length");
    if (!length.empty()) {
        const auto wanted = static_cast<std::size_t>(std::stoull(length));
        while (bytes.size() < wanted && more()) {
        }
        result.isWhole = bytes.size() >= wanted;
        result.body = bytes.substr(0, wanted);
        return result;
    }
    if (strcasecmp(result.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = bytes.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return result;
                }
            }
            const auto size = static_cast<std::size_t>(std::stoull(bytes.substr(0, lineEnd), nullptr, 16));
            while (bytes.size() < lineEnd + 2 + size + 2) {
                if (!more()) {
                    return result;
                }
            }
            result.body += bytes.substr(lineEnd + 2, size);
            bytes.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                result.isWhole = true;
                return result;
            }
        }
    }
    while (more()) {
    }
    result.body = bytes;
    result.isWhole = !result.isTimeout;
    return result;
}

using header_list = std::vector<std::pair<std::string, std::string>>;

inline std::string headOf(const std::string &method, const std::string &path, const header_list &headers, std::size_t length)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

inline reply call(int port, const std::string &method, const std::string &path, header_list headers, const std::string &body = "", std::int64_t timeout = 3000)
{
    const int socket = connectTo(port);
    if (socket < 0) {
        return {};
    }
    headers.insert(headers.begin(), {"Host", "stand-in"});
    reply result;
    if (sendAll(socket, headOf(method, path, headers, body.size()) + body)) {
        result = readReply(socket, timeout);
    }
    close(socket);
    return result;
}

inline Json::Value parse(const std::string &text)
{
    Json::Value json;
    std::istringstream in(text);
    std::string problems;
    Json::parseFromStream(Json::CharReaderBuilder(), in, &json, &problems);
    return json;
}

inline std::string textOf(const Json::Value &json)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, json);
}

constexpr auto base64Signs = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : base64Signs[group >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char sign : text) {
        const auto *found = sign == '=' ? nullptr : std::strchr(base64Signs, sign);
        if (found == nullptr) {
            break;
        }
        group = group << 6 | static_cast<unsigned>(found - base64Signs);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

// A small deployment: the store, replicas with engines in two domains, a plain service, and entry daemons with the settings of deploy/entry.yaml
// filled as on the sheet of oat-lagos.

struct deployment
{
    std::string work;
    int base = 0;
    /// For a daemon that reaches the store through a gate: the gate's port.
    std::map<int, int> storeOf;

    int store() const { return base; }
    int storeControl() const { return base + 1; }
    int replicaControl() const { return base + 2; }
    int gate() const { return base + 3; }
    int callers(int number) const { return base + 10 + number * 8; }
    int readiness(int number) const { return callers(number) + 1; }
    int peers(int number) const { return callers(number) + 2; }
    int firstReplica() const { return base + 60; }

    static constexpr int ports = 100;
    static constexpr int heartbeatMs = 1200;
    static constexpr int revokeMs = 5000;

    void startStandIns(const std::string &folder, const std::string &options = "") const
    {
        start("store", {folder + "/standInStore", "--listen=127.0.0.1:" + std::to_string(store()), "--control=127.0.0.1:" + std::to_string(storeControl())}, work + "/store.log");
        waitFor("the store", 10000, [&] { return call(storeControl(), "GET", "/facts", {}).status == 200; });
        std::vector<std::string> command{folder + "/standInReplicas", "--store=127.0.0.1:" + std::to_string(store()), "--control=127.0.0.1:" + std::to_string(replicaControl()),
                                         "--base-port=" + std::to_string(firstReplica()), "--models=m0:4,m1:2", "--domains=2", "--per-domain=8", "--services=plain:3",
                                         "--heartbeat-ms=" + std::to_string(heartbeatMs), "--load-ms=1600", "--warm-ms=1600", "--form-ms=300", "--stall-ms=5000"};
        std::istringstream more(options);
        for (std::string option; more >> option;) {
            command.push_back(option);
        }
        start("replicas", command, work + "/replicas.log");
        waitFor("the replicas", 10000, [&] { return call(replicaControl(), "GET", "/facts", {}).status == 200; });
    }

    /// Writes to the store as the operator or a replica does. Returns whether the store has acknowledged it.
    bool write(const std::string &key, const std::string &value, std::uint64_t lease = 0) const
    {
        Json::Value item;
        item["Key"] = key;
        item["Value"] = encodeBase64(value);
        item["Lease"] = Json::UInt64(lease);
        Json::Value body;
        body["ExpectedRev"] = Json::Value(Json::arrayValue);
        body["Delete"] = Json::Value(Json::arrayValue);
        body["SetKeys"].append(item);
        return call(store(), "POST", "/kv-txn", {{"X-Stand-In", "yes"}, {"Content-Type", "application/json"}}, textOf(body)).status == 200;
    }

    Json::Value readItem(const std::string &key) const
    {
        return parse(call(store(), "GET", "/kv-key?Key=" + key, {{"X-Stand-In", "yes"}}).body);
    }

    bool configure(int version, const std::vector<std::string> &keys) const
    {
        std::string list;
        for (const auto &key : keys) {
            list += (list.empty() ? "\"" : ",\"") + key + "\"";
        }
        return write("op/config", R"({"Version":)" + std::to_string(version) + R"(,"Routes":[
{"Name":"draft","Host":"desk.example","PathPrefix":"/draft/","RouteType":"streaming","TimeoutMs":8000,"SloMs":500,"Priority":1,"Service":"engines","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapTargetMs":300},
{"Name":"fetch","Host":"desk.example","PathPrefix":"/fetch/","RouteType":"idempotent","TimeoutMs":4000,"SloMs":300,"Priority":2,"Service":"plain","MaxAttempts":2,"Public":false},
{"Name":"record","Host":"desk.example","PathPrefix":"/record/","RouteType":"non_idempotent","TimeoutMs":4000,"SloMs":300,"Priority":2,"Service":"plain","MaxAttempts":1,"Public":false}],
"Services":[{"Name":"engines","HealthPath":"/healthz","MaxConns":474,"Protocol":"h1","Tls":false,"Engine":{"Slots":26,"KvCapacity":1400000,"KvTokenBytes":35136,"LinkMbps":400000.0,"Stride":5,
"Models":[{"Name":"m0","size":4,"Share":0.67,"pace":1.0,"LoadS":16.0,"WarmS":1.6},{"Name":"m1","size":2,"Share":0.33,"pace":0.6,"LoadS":12.0,"WarmS":1.1}],
"step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"LoadsPerS":4.0,"loads_at_once":6,"delays":[],"usual":{"prompt":1076,"answer":116},"Contents":1,"far_x":3.0,"FormMs":300.0}},
{"Name":"plain","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":[)" + list + R"(],"Priority":1}]})");
    }

    /// Starts an entry daemon with the command of the deploy file.
    void startDaemon(int number) const
    {
        const auto name = "edge-" + std::to_string(number);
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        const auto found = storeOf.find(number);
        const auto settings = work + "/" + name + ".yaml";
        std::ofstream(settings) << "daemon: \"" << name << "\"\ndata-centre: \"ikeja\"\nkey-value: " << at(found == storeOf.end() ? store() : found->second)
                                << "first-start: true\nconnections: 400\nlisten:\n  callers: " << at(callers(number)) << "  readiness: " << at(readiness(number))
                                << "  peers: " << at(peers(number)) << "  dispatch: " << at(peers(number) + 1)
                                << "timing:\n  configuration-apply-ms: 2000\n  key-revocation-ms: " << revokeMs
                                << "\n  key-revocation-is-strict: true\n  replica-heartbeat-ms: " << heartbeatMs
                                << "\n  group-stall-ms: 5000\n  lease-ms: 2000\nretries:\n  share: 0.2\n  slack: 136\n"
                                   "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\", \"gangs\"]\n"
                                   "dispatch: off\nprocessor-share: 0.25\n";
        start(name, {"target/Services/vetchpostd/vetchpostd", "entry"}, work + "/" + name + ".log", settings);
    }

    bool isReady(int number) const { return call(readiness(number), "GET", "/readyz", {}).status == 200; }

    Json::Value replicas() const { return parse(call(replicaControl(), "GET", "/facts", {}).body)["replicas"]; }

    /// What the replicas have seen, oldest first.
    Json::Value events(std::uint64_t after = 0) const
    {
        const auto answer = call(replicaControl(), "GET", "/events?after=" + std::to_string(after), {}, "", 10000);
        if (answer.status != 200 || !answer.isWhole) {
            finish(couldNotRun, "the replicas did not tell what they have seen");
        }
        Json::Value list(Json::arrayValue);
        std::istringstream lines(answer.body);
        for (std::string line; std::getline(lines, line);) {
            list.append(parse(line));
        }
        return list;
    }

    int openGroups(const std::string &model = "") const
    {
        int count = 0;
        for (const auto &replica : replicas()) {
            const bool isOpen = replica["group"].isObject() && replica["group"]["State"] == "open" && replica["group"]["rank"] == 0;
            count += isOpen && (model.empty() || replica["Models"][0]["Name"] == model) ? 1 : 0;
        }
        return count;
    }

    static void waitFor(const std::string &what, std::int64_t time, const std::function<bool()> &isTrue)
    {
        for (const auto until = nowMs() + time; !isTrue(); sleepMs(50)) {
            if (nowMs() > until) {
                finish(couldNotRun, "no sign of " + what);
            }
        }
    }

    /// The head of a client's request.
    static std::string clientHead(const std::string &path, const std::string &attempt, const std::string &key, std::size_t length, const header_list &more = {}, int deadlineMs = 8000)
    {
        header_list headers{{"Host", "desk.example"}, {"Attempt-Id", attempt}, {"Deadline-Ms", std::to_string(deadlineMs)}, {"Authorization", "Bearer " + key}};
        headers.insert(headers.end(), more.begin(), more.end());
        return headOf("POST", path, headers, length);
    }

    /// Starts everything with three daemons and waits until they serve.
    void startAll(const std::string &standIns, const std::vector<std::string> &keys, const std::string &options = "", int daemons = 3) const
    {
        startStandIns(standIns, options);
        if (!configure(7, keys)) {
            finish(couldNotRun, "the store did not take the configuration");
        }
        for (int number = 1; number <= daemons; ++number) {
            startDaemon(number);
        }
        for (int number = 1; number <= daemons; ++number) {
            waitFor("a ready daemon", 20000, [&] { return isReady(number); });
        }
        waitFor("open groups", 30000, [&] { return openGroups("m0") >= 2 && openGroups("m1") >= 1; });
        for (int number = 1; number <= daemons; ++number) {
            waitFor("a served request", 20000, [&] {
                const int socket = connectTo(callers(number));
                static int asked = 0;
                const bool isSent = socket >= 0
                    && sendAll(socket, clientHead("/draft/ready", "ready-" + std::to_string(++asked), keys.front(), 2, {{"Model", "m0"}, {"Token-Counts", "40,10"}}) + "hi");
                const auto answer = isSent ? readReply(socket, 8000) : reply();
                close(socket);
                return answer.status == 200 && answer.isWhole;
            });
        }
    }
};

/// A way to the store that can be closed for one machine: open connections are cut, and new calls get 503, as the pages describe a store that turns some
/// machines away.
class store_gate
{
public:
    store_gate(int port, int target)
        : m_target(target)
        , m_listener(listenAt(port))
    {
        if (m_listener < 0) {
            finish(couldNotRun, "the gate cannot listen");
        }
        std::thread([this] {
            for (;;) {
                const int client = accept(m_listener, nullptr, nullptr);
                if (client >= 0) {
                    std::thread([this, client] { serve(client); }).detach();
                }
            }
        }).detach();
    }

    void turnAway(bool isTurnedAway) { m_isTurnedAway = isTurnedAway; }

private:
    void refuse(int client) const
    {
        std::string bytes;
        while (m_isTurnedAway) {
            pollfd waiting{client, POLLIN, 0};
            if (poll(&waiting, 1, 50) == 0) {
                continue;
            }
            char buffer[65536];
            const auto count = recv(client, buffer, sizeof buffer, 0);
            if (count <= 0) {
                break;
            }
            bytes.append(buffer, static_cast<std::size_t>(count));
            if (bytes.find("\r\n\r\n") != std::string::npos) {
                sendAll(client, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                break;
            }
        }
        close(client);
    }

    void serve(int client) const
    {
        if (m_isTurnedAway) {
            refuse(client);
            return;
        }
        const int server = connectTo(m_target);
        while (server >= 0 && !m_isTurnedAway) {
            pollfd waiting[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
            if (poll(waiting, 2, 20) <= 0) {
                continue;
            }
            bool isOpen = true;
            for (int side = 0; side < 2 && isOpen; ++side) {
                char buffer[65536];
                if (waiting[side].revents != 0) {
                    const auto count = recv(waiting[side].fd, buffer, sizeof buffer, 0);
                    isOpen = count > 0 && sendAll(waiting[1 - side].fd, std::string(buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0))));
                }
            }
            if (!isOpen) {
                break;
            }
        }
        close(server);
        close(client);
    }

    const int m_target;
    const int m_listener;
    std::atomic<bool> m_isTurnedAway = false;
};

/// Opens the record in the case's folder and a work folder, and makes sure that no process stays behind.
inline deployment prepare(int argc, char **argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: %s FOLDER-OF-THE-CASE FOLDER-OF-THE-STAND-INS\n", argv[0]);
        std::_Exit(couldNotRun);
    }
    signal(SIGPIPE, SIG_IGN);
    recordFile = std::fopen((std::string(argv[1]) + "/record.txt").c_str(), "w");
    char folder[] = "/tmp/review-2-XXXXXX";
    if (recordFile == nullptr || mkdtemp(folder) == nullptr) {
        std::_Exit(couldNotRun);
    }
    // A thread waits for these signals, so that the run ends in order when it is interrupted.
    static sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
        // A shell lets what it starts in the background ignore SIGINT.
        signal(number, SIG_DFL);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([] {
        int number = 0;
        sigwait(&signals, &number);
        finish(couldNotRun, "interrupted by signal " + std::to_string(number));
    }).detach();
    std::thread([] {
        sleepMs(110000);
        finish(couldNotRun, "it took too long");
    }).detach();
    deployment result;
    result.work = workFolder = folder;
    result.base = freePorts(deployment::ports);
    return result;
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
