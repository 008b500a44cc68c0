// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Platform/measured_store.h"

#include <array>
#include <chrono>

namespace vetchpost {

namespace {

enum class store_call { get, list, write, grant_lease, renew_lease, end_lease, watch, count };
enum class store_outcome {
    done,
    /// Answered, but without the wanted effect: a conflict, an expired lease or a lost history.
    refused,
    no_answer,
    count
};

constexpr std::size_t callCount = static_cast<std::size_t>(store_call::count);
constexpr std::size_t outcomeCount = static_cast<std::size_t>(store_outcome::count);
constexpr std::array<std::string_view, callCount> callNames = {"get", "list", "write", "grant_lease", "renew_lease", "end_lease", "watch"};
constexpr std::array<std::string_view, outcomeCount> outcomeNames = {"done", "refused", "no_answer"};

template <class Value>
store_outcome outcomeOf(const std::optional<Value> &answer)
{
    return answer ? store_outcome::done : store_outcome::no_answer;
}

store_outcome outcomeOf(const swap_result &answer)
{
    switch (answer.outcome) {
    case swap_outcome::applied:
        return store_outcome::done;
    case swap_outcome::conflict:
        return store_outcome::refused;
    case swap_outcome::unknown:
    case swap_outcome::not_sent:
        break;
    }
    return store_outcome::no_answer;
}

store_outcome outcomeOf(const std::optional<bool> &isRenewed)
{
    if (!isRenewed) {
        return store_outcome::no_answer;
    }
    return *isRenewed ? store_outcome::done : store_outcome::refused;
}

store_outcome outcomeOf(const std::optional<watch_result> &answer)
{
    if (!answer) {
        return store_outcome::no_answer;
    }
    return answer->isHistoryLost ? store_outcome::refused : store_outcome::done;
}

} // namespace

struct measured_store::private_data
{
    std::unique_ptr<key_value_service> service;
    /// Durations by call and outcome.
    std::vector<histogram> times;

    private_data(std::unique_ptr<key_value_service> inner, metrics &counters)
        : service(std::move(inner))
    {
        for (const auto call : callNames) {
            for (const auto outcome : outcomeNames) {
                times.push_back(counters.addTimeHistogram("vetchpost_key_value_seconds",
                                                          "Time of calls to the key-value service.",
                                                          {{"call", std::string(call)}, {"outcome", std::string(outcome)}}));
            }
        }
    }

    template <class Call>
    auto measure(store_call call, const Call &function) const
    {
        const auto startedAt = std::chrono::steady_clock::now();
        auto answer = function();
        const std::chrono::duration<double> time = std::chrono::steady_clock::now() - startedAt;
        times.at(static_cast<std::size_t>(call) * outcomeCount + static_cast<std::size_t>(outcomeOf(answer))).observe(time.count());
        return answer;
    }
};

measured_store::measured_store(std::unique_ptr<key_value_service> service, metrics &counters)
    : d(std::make_unique<private_data>(std::move(service), counters))
{
}

measured_store::~measured_store() = default;

std::optional<key_value_entry> measured_store::get(const std::string &key, read_freshness freshness, reason &lastReason)
{
    return d->measure(store_call::get, [&] { return d->service->get(key, freshness, lastReason); });
}

std::optional<key_value_listing> measured_store::list(const std::string &prefix, read_freshness freshness, reason &lastReason)
{
    return d->measure(store_call::list, [&] { return d->service->list(prefix, freshness, lastReason); });
}

swap_result measured_store::compareAndSwap(const std::string &key, key_revision expected, const std::string &value, lease_number lease)
{
    return d->measure(store_call::write, [&] { return d->service->compareAndSwap(key, expected, value, lease); });
}

std::optional<lease_number> measured_store::grantLease(duration time, reason &lastReason)
{
    return d->measure(store_call::grant_lease, [&] { return d->service->grantLease(time, lastReason); });
}

std::optional<bool> measured_store::renewLease(lease_number lease, reason &lastReason)
{
    return d->measure(store_call::renew_lease, [&] { return d->service->renewLease(lease, lastReason); });
}

/// The call has no result, so it always counts as done.
void measured_store::endLease(lease_number lease)
{
    d->measure(store_call::end_lease, [&] {
        d->service->endLease(lease);
        return std::optional(true);
    });
}

std::optional<watch_result> measured_store::watch(const std::string &prefix, store_revision after, duration wait, reason &lastReason)
{
    return d->measure(store_call::watch, [&] { return d->service->watch(prefix, after, wait, lastReason); });
}

store_era measured_store::era() const
{
    return d->service->era();
}

} // namespace vetchpost
