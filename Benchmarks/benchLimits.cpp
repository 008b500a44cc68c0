// SPDX-License-Identifier: Apache-2.0
// Ways for many daemons to keep to the limit that one replica has named: how much of it they use, and the most that the replica gets in
// four seconds. Every daemon is told within a fifth of a second; requests come unevenly to the daemons, twice the limit or more in all.
#include "Benchmarks/figure.h"
#include "Libraries/Requests/rate_permits.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <random>

using namespace vetchpost;
using namespace vetchpost::bench;

namespace {

constexpr duration played(120000);
constexpr duration tick(10);
constexpr duration window(4000);
constexpr duration tellingTime(200);
constexpr double windowSeconds = 4;
constexpr double allowedFactor = 1.5;
constexpr double allowedSlack = 5;
constexpr double ticksPerSecond = 100;
constexpr double perDaemon = 4;

struct case_of_limit
{
    int daemons = 0;
    double limit = 0;
};

/// Whether a request at this daemon may go to the replica now.
using admission = std::function<bool(int daemon, instant now)>;

struct outcome
{
    double used = 0;
    int most = 0;
};

/// The busiest daemon gets four times what the quietest gets.
std::vector<double> demandOf(const case_of_limit &play)
{
    const auto total = std::max(2 * play.limit, perDaemon * play.daemons);
    std::vector<double> demand;
    double sum = 0;
    for (int daemon = 0; daemon < play.daemons; ++daemon) {
        demand.push_back(1 + 3.0 * daemon / std::max(1, play.daemons - 1));
        sum += demand.back();
    }
    for (auto &part : demand) {
        part *= total / sum;
    }
    return demand;
}

outcome run(const case_of_limit &play, const admission &isAdmitted)
{
    std::mt19937 random(11);
    const auto demand = demandOf(play);
    std::deque<instant> inWindow;
    outcome result;
    int reached = 0;
    const instant start{duration(1000000)};
    for (auto now = start; now < start + played; now += tick) {
        for (int daemon = 0; daemon < play.daemons; ++daemon) {
            const auto expected = demand[static_cast<std::size_t>(daemon)] / ticksPerSecond;
            for (int left = std::poisson_distribution<int>(expected)(random); left > 0; --left) {
                if (isAdmitted(daemon, now)) {
                    inWindow.push_back(now);
                    ++reached;
                }
            }
        }
        while (!inWindow.empty() && now - inWindow.front() >= window) {
            inWindow.pop_front();
        }
        result.most = std::max(result.most, static_cast<int>(inWindow.size()));
    }
    result.used = reached / secondsOf(played) / play.limit;
    return result;
}

struct bucket
{
    double perSecond = 0;
    double capacity = 1;
    double available = 0;
    instant filledAt;
};

bool take(bucket &from, instant now)
{
    from.available = std::min(from.capacity, from.available + from.perSecond * std::max(0.0, secondsOf(now - from.filledAt)));
    from.filledAt = std::max(from.filledAt, now);
    if (from.available < 1) {
        return false;
    }
    from.available -= 1;
    return true;
}

/// The first \a holders daemons have an equal part each; the others pass the replica by.
outcome runWithParts(const case_of_limit &play, int holders, double capacity)
{
    std::mt19937 random(5);
    std::vector<bucket> buckets;
    for (int daemon = 0; daemon < holders; ++daemon) {
        const auto told = instant(duration(1000000 + static_cast<std::int64_t>(random() % tellingTime.count())));
        buckets.push_back({play.limit / holders, capacity, 0, told});
    }
    return run(play, [&](int daemon, instant now) {
        // Spread over quiet and busy daemons alike.
        const auto number = daemon * holders / play.daemons;
        const bool isHolder = (number * play.daemons + holders - 1) / holders == daemon;
        return isHolder && take(buckets[static_cast<std::size_t>(number)], now);
    });
}

outcome runWithPermits(const case_of_limit &play)
{
    permit_issuer issuer;
    std::vector<permit_holder> wallets(static_cast<std::size_t>(play.daemons));
    const replica_key replica{instance_id("i-1"), {}};
    return run(play, [&](int daemon, instant now) {
        auto &wallet = wallets[static_cast<std::size_t>(daemon)];
        const bool isTaken = consumePermit(wallet, replica, now);
        if (!isTaken) {
            // The request goes elsewhere; the permit is for a later one.
            if (const auto question = nextPermitRequest(wallet, replica, now)) {
                const endpoint asker{"10.0.0.1", static_cast<std::uint16_t>(daemon)};
                acceptResponse(wallet, issuePermits(issuer, *question, play.limit, asker, now), now);
            }
        }
        return isTaken;
    });
}

void print(const case_of_limit &play, const std::string &way, const outcome &result)
{
    const auto allowed = std::floor(play.limit * windowSeconds * allowedFactor + allowedSlack);
    const auto name = fmt::format("{}_daemons_limit_{}_{}", play.daemons, play.limit, way);
    printFigure({name + "_used", result.used, "share", {}, {}});
    printFigure({name + "_most", static_cast<double>(result.most), "requests", {}, allowed});
}

} // namespace

int main()
{
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            const case_of_limit play{daemons, limit};
            const auto holders = std::min(daemons, static_cast<int>(2 * limit + allowedSlack));
            print(play, "equal_parts", runWithParts(play, daemons, 1));
            print(play, "holders", runWithParts(play, holders, 1));
            print(play, "one_daemon", runWithParts(play, 1, std::max(1.0, limit / 4)));
            print(play, "permits", runWithPermits(play));
        }
    }
    return 0;
}
