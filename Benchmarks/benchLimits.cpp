// SPDX-License-Identifier: Apache-2.0
// Compares methods by which many daemons keep to the rate limit that one replica has announced: the share of the limit that they use, and
// the maximum number of requests that the replica gets in four seconds. In the methods with fixed shares each daemon learns of the limit
// within 200 ms. The demand is uneven over the daemons and at least twice the limit in total.
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

constexpr duration simulatedTime(120000);
constexpr duration tick(10);
constexpr duration window(4000);
constexpr duration maxReportDelay(200);
constexpr double windowSeconds = 4;
constexpr double allowedFactor = 1.5;
constexpr double allowedSlack = 5;
constexpr double ticksPerSecond = 100;
constexpr double demandPerDaemon = 4;

struct limit_case
{
    int daemons = 0;
    double limit = 0;
};

/// Decides whether a request at this daemon may be sent to the replica now.
using admission = std::function<bool(int daemon, instant now)>;

struct outcome
{
    double usedShare = 0;
    int maxInWindow = 0;
};

/// Returns the demand of each daemon in requests per second. The busiest daemon has four times the demand of the least busy one.
std::vector<double> demandOf(const limit_case &limitCase)
{
    const auto total = std::max(2 * limitCase.limit, demandPerDaemon * limitCase.daemons);
    std::vector<double> demand;
    double sum = 0;
    for (int daemon = 0; daemon < limitCase.daemons; ++daemon) {
        demand.push_back(1 + 3.0 * daemon / std::max(1, limitCase.daemons - 1));
        sum += demand.back();
    }
    for (auto &share : demand) {
        share *= total / sum;
    }
    return demand;
}

outcome run(const limit_case &limitCase, const admission &isAdmitted)
{
    std::mt19937 random(11);
    const auto demand = demandOf(limitCase);
    std::deque<instant> inWindow;
    outcome result;
    int admittedCount = 0;
    const instant start{duration(1000000)};
    for (auto now = start; now < start + simulatedTime; now += tick) {
        for (int daemon = 0; daemon < limitCase.daemons; ++daemon) {
            const auto expected = demand[static_cast<std::size_t>(daemon)] / ticksPerSecond;
            for (int left = std::poisson_distribution<int>(expected)(random); left > 0; --left) {
                if (isAdmitted(daemon, now)) {
                    inWindow.push_back(now);
                    ++admittedCount;
                }
            }
        }
        while (!inWindow.empty() && now - inWindow.front() >= window) {
            inWindow.pop_front();
        }
        result.maxInWindow = std::max(result.maxInWindow, static_cast<int>(inWindow.size()));
    }
    result.usedShare = admittedCount / secondsOf(simulatedTime) / limitCase.limit;
    return result;
}

struct token_bucket
{
    double perSecond = 0;
    double capacity = 1;
    double available = 0;
    instant filledAt;
};

bool consume(token_bucket &bucket, instant now)
{
    bucket.available = std::min(bucket.capacity, bucket.available + bucket.perSecond * std::max(0.0, secondsOf(now - bucket.filledAt)));
    bucket.filledAt = std::max(bucket.filledAt, now);
    if (bucket.available < 1) {
        return false;
    }
    bucket.available -= 1;
    return true;
}

/// Gives an equal share of the limit to each of \a holders daemons; the others send nothing to the replica.
outcome runWithEqualShares(const limit_case &limitCase, int holders, double capacity)
{
    std::mt19937 random(5);
    std::vector<token_bucket> buckets;
    for (int daemon = 0; daemon < holders; ++daemon) {
        const auto startsAt = instant(duration(1000000 + static_cast<std::int64_t>(random() % maxReportDelay.count())));
        buckets.push_back({limitCase.limit / holders, capacity, 0, startsAt});
    }
    return run(limitCase, [&](int daemon, instant now) {
        // Spread the holders evenly over busy and less busy daemons.
        const auto number = daemon * holders / limitCase.daemons;
        const bool isHolder = (number * limitCase.daemons + holders - 1) / holders == daemon;
        return isHolder && consume(buckets[static_cast<std::size_t>(number)], now);
    });
}

outcome runWithPermits(const limit_case &limitCase)
{
    permit_issuer issuer;
    std::vector<permit_holder> permitHolders(static_cast<std::size_t>(limitCase.daemons));
    const replica_key replica{instance_id("i-1"), {}};
    return run(limitCase, [&](int daemon, instant now) {
        auto &permitHolder = permitHolders[static_cast<std::size_t>(daemon)];
        const bool hasPermit = consumePermit(permitHolder, replica, now);
        if (!hasPermit) {
            // This request goes to another replica; the permit serves a later one.
            if (const auto permitRequest = nextPermitRequest(permitHolder, replica, now)) {
                const endpoint requester{"10.0.0.1", static_cast<std::uint16_t>(daemon)};
                acceptResponse(permitHolder, issuePermits(issuer, *permitRequest, limitCase.limit, requester, now), now);
            }
        }
        return hasPermit;
    });
}

void print(const limit_case &limitCase, const std::string &method, const outcome &result)
{
    const auto allowed = std::floor(limitCase.limit * windowSeconds * allowedFactor + allowedSlack);
    const auto name = fmt::format("{}_daemons_limit_{}_{}", limitCase.daemons, limitCase.limit, method);
    printFigure({name + "_used", result.usedShare, "share", {}, {}});
    printFigure({name + "_most", static_cast<double>(result.maxInWindow), "requests", {}, allowed});
}

} // namespace

int main()
{
    for (const int daemons : {8, 79, 195, 350}) {
        for (const double limit : {1.2, 10.0, 100.0}) {
            const limit_case limitCase{daemons, limit};
            const auto holders = std::min(daemons, static_cast<int>(2 * limit + allowedSlack));
            print(limitCase, "equal_parts", runWithEqualShares(limitCase, daemons, 1));
            print(limitCase, "holders", runWithEqualShares(limitCase, holders, 1));
            print(limitCase, "one_daemon", runWithEqualShares(limitCase, 1, std::max(1.0, limit / 4)));
            print(limitCase, "permits", runWithPermits(limitCase));
        }
    }
    return 0;
}
