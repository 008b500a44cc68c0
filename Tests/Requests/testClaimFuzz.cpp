// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/digest.h"
#include "Libraries/Requests/claim_batcher.h"
#include "Tests/Fakes/fake_key_value_store.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <deque>
#include <map>
#include <set>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

struct claim_step
{
    int kind = 0;
    int subject = 0;
    int amount = 0;
};

void showValue(const claim_step &step, std::ostream &out)
{
    out << '{' << step.kind << ',' << step.subject << ',' << step.amount << '}';
}

using batcher_callback = std::function<std::vector<claim_action>(claim_batcher &, instant)>;

/// One daemon's batcher with the service's answers that have not reached it yet.
struct fake_daemon
{
    daemon_id id;
    claim_batcher batcher;
    std::deque<std::pair<instant, batcher_callback>> answers;
};

struct late_write
{
    instant at;
    key_revision expected;
    std::string text;
};

/// The history of one claim.
struct traced_claim
{
    std::size_t daemon = 0;
    claim_record record;
    bool isAnswered = false;
    bool isGranted = false;
    /// Whether the request was dispatched, so that it may have run.
    bool hasRun = false;
    bool isSettled = false;
    /// Whether its daemon has crashed, so that nothing withdraws the claim: it may remain until the window has passed.
    bool mayRemain = false;
};

/// Simulates daemons that claim keys of one shard, with a service that loses replies, delays them, or is unavailable. The oracle records
/// which requests ran for each key.
class claim_simulation
{
public:
    explicit claim_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i) {
            m_daemons.push_back({daemon_id(fmt::format("d{}", i)), {}, {}});
        }
    }

    void apply(const claim_step &step)
    {
        const auto daemon = static_cast<std::size_t>(step.subject) % m_daemons.size();
        switch (step.kind % 10) {
        case 0:
        case 1:
        case 2:
            requestClaim(daemon, step.amount % 5, step.amount % 7 == 0);
            break;
        case 3:
        case 4:
            settleRandomClaim(static_cast<std::size_t>(step.amount));
            break;
        case 5:
            m_downUntil = m_now + duration(step.amount % 20000);
            break;
        case 6:
            m_repliesToLose += 1 + step.amount % 3;
            break;
        case 7:
            // The daemon crashes: its batcher is lost, and the answers to it with it.
            m_daemons[daemon].batcher = {};
            m_daemons[daemon].answers.clear();
            for (auto &[owner, claim] : m_claims) {
                claim.mayRemain = claim.mayRemain || claim.daemon == daemon;
            }
            break;
        default:
            break;
        }
        advance(duration(step.amount % 700));
    }

    /// Ends all faults, and checks that every key whose requests were refused as not run can be claimed by a client that retries.
    void finish()
    {
        m_downUntil = m_now;
        m_repliesToLose = 0;
        advance(std::chrono::seconds(10));
        for (const auto &[owner, claim] : m_claims) {
            if (!claim.isAnswered && !claim.mayRemain) {
                recordViolation("a claim was never answered: " + owner.value());
            }
        }
        for (int key = 0; key < 5; ++key) {
            if (mustBeFree(key)) {
                requestClaim(0, key, false);
                advance(std::chrono::seconds(8));
                if (!m_claims.rbegin()->second.isGranted) {
                    recordViolation(fmt::format("key {} is refused for ever although nobody ran it", key));
                }
            }
        }
    }

    const std::string &violation() const
    {
        return m_violation;
    }

private:
    std::uint64_t random()
    {
        return m_random = hashOf(fmt::format("{}", m_random));
    }

    void recordViolation(const std::string &what)
    {
        if (m_violation.empty()) {
            m_violation = what;
        }
    }

    void requestClaim(std::size_t daemon, int key, bool hasOtherBody)
    {
        traced_claim claim;
        claim.daemon = daemon;
        claim.record.key = fmt::format("key{}", key);
        claim.record.body = hasOtherBody ? "other" : "body";
        claim.record.owner = request_id(fmt::format("r{:04}", m_claims.size()));
        claim.record.daemon = m_daemons[daemon].id;
        claim.record.claimedAt = m_now.time_since_epoch().count();
        m_claims[claim.record.owner] = claim;
        addClaim(m_daemons[daemon].batcher, {{claim_change::claim, claim.record}, m_now + std::chrono::seconds(5)});
    }

    /// Runs a granted request, or cancels it before it is dispatched.
    void settleRandomClaim(std::size_t choice)
    {
        std::vector<traced_claim *> open;
        for (auto &[owner, claim] : m_claims) {
            if (claim.isGranted && !claim.isSettled) {
                open.push_back(&claim);
            }
        }
        if (open.empty()) {
            return;
        }
        auto &claim = *open[choice % open.size()];
        claim.isSettled = true;
        claim_change change = claim_change::withdraw;
        if (choice % 3 != 0) {
            runOnce(claim);
            change = choice % 3 == 1 ? claim_change::finish : claim_change::abandon;
        }
        addClaim(m_daemons[claim.daemon].batcher, {{change, claim.record}, {}});
    }

    void runOnce(traced_claim &claim)
    {
        claim.hasRun = true;
        for (const auto &[owner, other] : m_claims) {
            if (owner != claim.record.owner && other.record.key == claim.record.key && other.hasRun) {
                recordViolation(fmt::format("{} ran twice: by {} and {}", claim.record.key, owner.value(), claim.record.owner.value()));
            }
        }
    }

    bool mustBeFree(int key) const
    {
        for (const auto &[owner, claim] : m_claims) {
            if (claim.record.key == fmt::format("key{}", key) && (claim.isGranted || !claim.isAnswered || claim.mayRemain)) {
                return false;
            }
        }
        return true;
    }

    void advance(duration time)
    {
        const auto end = m_now + time;
        while (m_now < end && m_violation.empty()) {
            m_now += duration(20);
            applyLateWrites();
            for (std::size_t i = 0; i < m_daemons.size(); ++i) {
                auto &daemon = m_daemons[i];
                while (!daemon.answers.empty() && daemon.answers.front().first <= m_now) {
                    const auto answer = daemon.answers.front().second;
                    daemon.answers.pop_front();
                    perform(daemon, answer(daemon.batcher, m_now));
                }
                perform(daemon, tick(daemon.batcher, m_now, m_now.time_since_epoch().count()));
            }
        }
    }

    void perform(fake_daemon &daemon, const std::vector<claim_action> &actions)
    {
        for (const auto &action : actions) {
            if (const auto *answer = std::get_if<claim_result>(&action)) {
                receive(*answer);
            } else if (const auto *write = std::get_if<write_shard>(&action)) {
                scheduleAnswer(daemon, writeShard(*write));
            } else {
                scheduleAnswer(daemon, readShard());
            }
        }
    }

    void scheduleAnswer(fake_daemon &daemon, batcher_callback answer)
    {
        daemon.answers.emplace_back(m_now + duration(static_cast<std::int64_t>(random() % 200)), std::move(answer));
    }

    void receive(const claim_result &answer)
    {
        auto &claim = m_claims.at(answer.owner);
        claim.isAnswered = true;
        claim.isGranted = answer.verdict == claim_verdict::granted;
        if (answer.verdict == claim_verdict::ran && !m_claims.at(answer.decidedBy.owner).hasRun) {
            recordViolation("a claim was said to have run although it did not");
        }
    }

    batcher_callback readShard()
    {
        if (m_now < m_downUntil) {
            return [](claim_batcher &batcher, instant now) { return onShardRead(batcher, std::nullopt, now); };
        }
        return [entry = m_store.get("shard")](claim_batcher &batcher, instant now) { return onShardRead(batcher, entry, now); };
    }

    batcher_callback writeShard(const write_shard &write)
    {
        swap_result result;
        if (m_now < m_downUntil) {
            result.outcome = swap_outcome::not_sent;
        } else if (m_repliesToLose > 0) {
            --m_repliesToLose;
            result.outcome = swap_outcome::unknown;
            m_lateWrites.push_back({m_now + duration(static_cast<std::int64_t>(random() % 4000)), write.expected, write.text});
        } else {
            result = m_store.swap("shard", write.expected, write.text);
        }
        return [result](claim_batcher &batcher, instant now) { return onShardWritten(batcher, result, now); };
    }

    void applyLateWrites()
    {
        for (const auto &write : std::exchange(m_lateWrites, {})) {
            if (write.at > m_now) {
                m_lateWrites.push_back(write);
            } else {
                m_store.swap("shard", write.expected, write.text);
            }
        }
    }

    fake_key_value_store m_store;
    std::vector<fake_daemon> m_daemons;
    std::vector<late_write> m_lateWrites;
    std::map<request_id, traced_claim> m_claims;
    instant m_now{duration(1000000)};
    instant m_downUntil;
    int m_repliesToLose = 0;
    std::uint64_t m_random;
    std::string m_violation;
};

constexpr int stepsPerCase = 60;
constexpr int casesInCi = 200;

rc::Gen<claim_step> anyStep()
{
    return rc::gen::build<claim_step>(rc::gen::set(&claim_step::kind, rc::gen::inRange(0, 10)),
                                      rc::gen::set(&claim_step::subject, rc::gen::inRange(0, 3)),
                                      rc::gen::set(&claim_step::amount, rc::gen::inRange(0, 60000)));
}

} // namespace

TEST_CASE("A request with an idempotency key runs at most once, and its key is not refused permanently", "[fuzz]")
{
    int steps = 0;
    const auto property = [&steps] {
        const auto seed = *rc::gen::arbitrary<std::uint16_t>();
        const auto plan = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<claim_step>>(stepsPerCase, anyStep()));
        claim_simulation simulation(seed);
        for (const auto &step : plan) {
            simulation.apply(step);
            ++steps;
            if (!simulation.violation().empty()) {
                RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
            }
        }
        simulation.finish();
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.violation() + " (step " + std::to_string(steps) + ")");
        }
    };
    checkProperty("claims", fuzzSteps(casesInCi * stepsPerCase) / stepsPerCase, property);
    WARN("steps: " << steps);
}
