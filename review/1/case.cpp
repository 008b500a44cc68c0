// Clients send bodies in chunks; some leave before the last chunk. See claim.txt.
// Arguments: PORT OF THE STORE, OF THE DAEMON'S CLIENTS, OF ITS READINESS, OF THE FIRST REPLICA, RECORD, TROUBLE (0 or 1)
#include "../tools/wire.h"

using namespace review;

namespace {

constexpr auto key = "n2ctnfzs989anu6wsjnb";
constexpr int replicas = 3;
constexpr int requests = 100;
/// The disruption give_up lets at most a fifth of the clients leave, within half of the objective (300 ms).
constexpr int leavingEach = 5;
constexpr int leaveAfterMs = 100;
constexpr int gapMs = 55;

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

struct attempt
{
    std::string id;
    std::string body;
    bool leaves = false;
    int status = 0;
};

void runClient(attempt &client, int port, record_file &record)
{
    const int fd = connectTo(port);
    if (fd < 0) {
        record.write("client " + client.id + " could not connect");
        return;
    }
    sendAll(fd,
            "POST /record/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + client.id
                + "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto half = client.body.size() / 2;
    sendAll(fd, chunk(client.body.substr(0, half)));
    sleepMs(leaveAfterMs);
    if (client.leaves) {
        record.write("client " + client.id + " leaves " + std::to_string(leaveAfterMs) + " ms after its first byte: " + std::to_string(half)
                     + " of " + std::to_string(client.body.size()) + " bytes sent, the last chunk not");
        close(fd);
        return;
    }
    sendAll(fd, chunk(client.body.substr(half)) + "0\r\n\r\n");
    record.write("client " + client.id + " has sent all " + std::to_string(client.body.size()) + " bytes");
    const auto answer = reader(fd).read(5000, true);
    client.status = answer.isWhole ? answer.status() : 0;
    record.write("client " + client.id + " is answered " + std::to_string(client.status) + " " + answer.body);
    close(fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 7) {
        return 2;
    }
    // Ends the program, which run.sh then reports as 2.
    constexpr unsigned longestRunSeconds = 60;
    alarm(longestRunSeconds);
    const int store = std::atoi(argv[1]);
    const int callers = std::atoi(argv[2]);
    const int readiness = std::atoi(argv[3]);
    const int firstReplica = std::atoi(argv[4]);
    record_file record(argv[5]);
    const bool isTrouble = std::string(argv[6]) != "0";
    std::vector<std::unique_ptr<plain_replica>> servers;
    for (int i = 0; i < replicas; ++i) {
        // Most replicas drop a request whose connection closes; the last one here does not.
        servers.push_back(std::make_unique<plain_replica>(
            firstReplica + i, "i-" + std::to_string(i), "portal", store, record, 60, i + 1 < replicas));
    }
    if (!putKey(store, "op/config", plainConfiguration(1, key))) {
        std::fprintf(stderr, "the store took no configuration\n");
        return 2;
    }
    for (int i = 0; !isReady(readiness); ++i) {
        if (i == 200) {
            std::fprintf(stderr, "the daemon is not ready\n");
            return 2;
        }
        sleepMs(100);
    }
    sleepMs(1500);
    record.write("the daemon is ready");
    std::vector<attempt> clients(requests);
    std::vector<std::thread> threads;
    for (int i = 0; i < requests; ++i) {
        auto &client = clients[static_cast<std::size_t>(i)];
        client.id = "attempt-" + std::to_string(i);
        client.body = "{\"order\":" + std::to_string(i) + ",\"bricks\":12000,\"note\":\"" + std::string(560, 'x') + "\"}";
        client.leaves = isTrouble && i % leavingEach == 2;
        threads.emplace_back([&client, callers, &record] { runClient(client, callers, record); });
        sleepMs(gapMs);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    sleepMs(500);
    std::map<std::string, std::string> sent;
    int served = 0;
    int left = 0;
    for (const auto &client : clients) {
        sent[client.id] = client.body;
        served += client.status == 200 ? 1 : 0;
        left += client.leaves ? 1 : 0;
    }
    int ran = 0;
    int changed = 0;
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            ++ran;
            if (sent[run.attempt] != run.body) {
                ++changed;
                record.write("BROKEN: replica " + server->id() + " ran " + run.attempt + " with a body that no client sent: "
                             + std::to_string(run.body.size()) + " of " + std::to_string(sent[run.attempt].size()) + " bytes");
            }
        }
    }
    const auto text = std::to_string(requests) + " requests, " + std::to_string(left) + " clients left before the end of their body, "
        + std::to_string(served) + " served, " + std::to_string(ran) + " runs at replicas, of which " + std::to_string(changed)
        + " with a changed body";
    record.write(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
    if (served < (requests - left) * 9 / 10) {
        // Too little was served for the case to say anything.
        std::_Exit(2);
    }
    std::_Exit(changed > 0 ? 1 : 0);
}
