// SPDX-License-Identifier: Apache-2.0
// Measures what crash tracking costs a daemon: computing the identity by which a repeated request is recognised, and maintaining the table
// of suspects (requests during which replicas terminated) for each completed request, each lost request and each sync with the followers.
#include "Benchmarks/figure.h"
#include "Libraries/Entry/shared_suspects.h"

#include <fmt/format.h>

using namespace vetchpost;
using namespace vetchpost::bench;

namespace {

constexpr int repetitions = 20000;
constexpr double microsecondsPerSecond = 1e6;

template <class Work>
void measure(const std::string &name, int count, const Work &work)
{
    const auto before = processorSeconds();
    for (int number = 0; number < count; ++number) {
        work(number);
    }
    printFigure({name, (processorSeconds() - before) * microsecondsPerSecond / count, "us", {}, {}});
}

request_identity identityFor(int number)
{
    return request_identity(fmt::format("{:032x}", number));
}

void measureIdentity(const identity_key &key, std::size_t bytes)
{
    const std::string body(bytes, 'x');
    const identifying_parts parts{organisation_id("organisation"), "POST", "desk.example", "/notices/2f", body};
    measure(fmt::format("identity_{}_bytes", bytes), repetitions, [&](int /*number*/) { identityOf(key, parts); });
}

} // namespace

int main()
{
    const auto key = makeIdentityKey();
    for (const std::size_t bytes : {700, 2000, 100000}) {
        measureIdentity(key, bytes);
    }
    metrics counters;
    shared_suspects suspects(counters);
    const organisation_id organisation("organisation");
    const auto memoryBefore = residentKilobytes();
    measure("answered_calm", repetitions, [&](int number) { suspects.recordCompletion(identityFor(number)); });
    measure("end_noted", static_cast<int>(maxSuspects), [&](int number) {
        suspects.recordReplicaEnd(identityFor(number), organisation, replicaEndOf("i-1", static_cast<std::uint64_t>(number)));
    });
    measure("end_noted_full_table", 2000, [&](int number) {
        suspects.recordReplicaEnd(identityFor(repetitions + number), organisation, replicaEndOf("i-2", static_cast<std::uint64_t>(number)));
    });
    measure("refusal_asked_full_table", repetitions, [&](int number) { suspects.refusedFor(identityFor(number)); });
    measure("answered_full_table", repetitions, [&](int number) { suspects.recordCompletion(identityFor(number)); });
    std::vector<endpoint> followers;
    for (std::uint16_t number = 0; number < 25; ++number) {
        followers.push_back({"10.0.0.1", number});
    }
    suspects.dueBatches(std::nullopt, followers);
    measure("nothing_due_25_followers", repetitions, [&](int /*number*/) { suspects.dueBatches(std::nullopt, followers); });
    printFigure({"table_memory", residentKilobytes() - memoryBefore, "KB", {}, {}});
    return 0;
}
