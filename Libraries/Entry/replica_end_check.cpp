// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/replica_end_check.h"

#include "Libraries/Http/http_client.h"
#include "Libraries/Http/port_probe.h"

#include <array>

namespace vetchpost {

namespace {

/// A port without a process refuses within a round trip. A lost request is held up no longer than this by a place that says nothing.
constexpr duration askTimeout(100);
/// What was found is true of all requests that were lost so shortly after.
constexpr duration findingLifetime(500);
/// Nothing was found: it is asked again sooner.
constexpr duration unknownLifetime(150);
constexpr std::array<std::string_view, 3> findingNames = {"ended", "there", "unknown"};

} // namespace

std::string_view replicaEndFindingName(replica_end_finding finding)
{
    return findingNames.at(static_cast<std::size_t>(finding));
}

replica_end_check::replica_end_check(const entry_dialect &dialect)
    : m_dialect(dialect)
{
}

// A connection breaks off for many reasons: a cut link, a lost answer, wrong bytes. What has ended refuses new connections: so did all
// eleven heads that a crashing request had ended, five of them within 30 ms of the first lost try (in the log of eight daemons).
replica_end_finding replica_end_check::askNow(const backend &target) const
{
    const auto port = probePort(target.address, askTimeout);
    if (port != port_answer::accepts) {
        return port == port_answer::refuses ? replica_end_finding::has_ended : replica_end_finding::unknown;
    }
    auto call = m_dialect.livenessCall(target.replica, target.address);
    call.connectTimeout = askTimeout;
    call.receiveTimeout = askTimeout;
    reason ignored;
    const auto reply = sendOnFreshConnection(call, ignored);
    if (!reply) {
        return replica_end_finding::unknown;
    }
    replica_order look;
    look.kind = order_kind::probe;
    look.to = target.replica;
    const auto answer = m_dialect.readOrderAnswer(look, *reply);
    const bool isReplaced = answer.result == order_result::gone;
    const bool tellsLife = answer.result == order_result::accepted && answer.life != replica_life();
    const bool isRestarted = tellsLife && isAnotherIncarnation(answer.life, target.life);
    return isReplaced || isRestarted ? replica_end_finding::has_ended : replica_end_finding::is_there;
}

replica_end_finding replica_end_check::ask(const backend &target)
{
    std::shared_ptr<question> asked;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = monotonicNow();
        std::erase_if(m_questions, [&](const auto &entry) {
            return entry.second.use_count() == 1 && entry.second->askedAt && now - *entry.second->askedAt >= findingLifetime;
        });
        auto &known = m_questions[{target.replica, target.life}];
        if (!known) {
            known = std::make_shared<question>();
        }
        asked = known;
    }
    const std::lock_guard lock(asked->mutex);
    const auto lifetime = asked->finding == replica_end_finding::unknown ? unknownLifetime : findingLifetime;
    if (!asked->askedAt || monotonicNow() - *asked->askedAt >= lifetime) {
        asked->finding = askNow(target);
        asked->askedAt = monotonicNow();
    }
    return asked->finding;
}

} // namespace vetchpost
