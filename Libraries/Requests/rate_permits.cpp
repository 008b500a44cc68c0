// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/rate_permits.h"

#include <algorithm>
#include <cmath>

namespace vetchpost {

namespace {

/// Seconds of the limit that a bucket holds at most, for demand that comes in bursts.
constexpr double burstSeconds = 0.25;
/// A daemon counts among those that share a limit for so long after its last question.
constexpr duration askerLifetime(2000);
constexpr duration leastWait(5);
/// A daemon that is told to wait asks again after this time at the latest: the limit may have changed.
constexpr duration longestWaitForPermit(5000);

double capacityOf(double perSecond)
{
    return std::max(1.0, perSecond * burstSeconds);
}

void fill(permit_bucket &bucket, double perSecond, instant now)
{
    if (bucket.filledAt != instant()) {
        bucket.available += bucket.perSecond * secondsOf(now - bucket.filledAt);
    }
    bucket.perSecond = perSecond;
    bucket.filledAt = now;
    bucket.available = std::min(bucket.available, capacityOf(perSecond));
}

/// Those who wait share what comes: each is told a time by which the others before it have had theirs.
duration waitOf(const permit_bucket &bucket)
{
    const auto missing = std::max(0.0, 1 - bucket.available);
    const auto others = static_cast<double>(bucket.askers.size()) - 1;
    const auto seconds = (missing + others / 2) / bucket.perSecond;
    const auto wait = duration(static_cast<std::int64_t>(std::ceil(std::min(seconds, secondsOf(longestWaitForPermit)) * 1000)));
    return std::clamp(wait, leastWait, longestWaitForPermit);
}

template <class Entries>
void eraseUnlimited(Entries &entries, const replica_constraints &table)
{
    std::erase_if(entries, [&](const auto &entry) {
        const auto *known = findConstraint(table, entry.first);
        return known == nullptr || !known->rateLimit;
    });
}

} // namespace

// In any span of T seconds a bucket issues limit x T + its capacity at most. A permit may be used up to a second after it was issued and a
// connection takes up to a quarter: in four seconds a replica gets limit x 5.5 + 1 at most, which is less than the limit x 6 + 5 allowed.
permit_answer issuePermits(permit_issuer &issuer, const permit_question &question, double perSecond, const endpoint &asker, instant now)
{
    auto &bucket = issuer.buckets[question.report.replica];
    fill(bucket, perSecond, now);
    std::erase_if(bucket.askers, [&](const auto &entry) { return now - entry.second >= askerLifetime; });
    bucket.askers[asker] = now;
    const auto wanted = std::clamp(question.wanted, 1, mostPermitsAtOnce);
    const auto granted = std::min(wanted, static_cast<int>(bucket.available));
    bucket.available -= granted;
    return {question.nonce, question.report.replica, granted, granted < wanted ? waitOf(bucket) : duration()};
}

permit_answer
answerQuestion(permit_issuer &issuer, replica_constraints &table, const permit_question &question, const endpoint &asker, instant now)
{
    takeEvidence(table, question.report, now);
    const auto *known = findConstraint(table, question.report.replica);
    // Where the table holds a later word that there is no limit, the asker will hear of it; until then its own word counts.
    const auto limit = known != nullptr && known->rateLimit ? known->rateLimit : question.report.rateLimit;
    return issuePermits(issuer, question, limit.value_or(leastRateLimit), asker, now);
}

bool hasPermit(const permit_wallet &wallet, const replica_key &replica, instant now)
{
    const auto found = wallet.held.find(replica);
    return found != wallet.held.end() && found->second.count > 0 && now < found->second.validUntil;
}

bool takePermit(permit_wallet &wallet, const replica_key &replica, instant now)
{
    if (!hasPermit(wallet, replica, now)) {
        return false;
    }
    --wallet.held.at(replica).count;
    return true;
}

std::optional<permit_question> wantPermit(permit_wallet &wallet, const replica_key &replica, instant now)
{
    auto &held = wallet.held[replica];
    held.wanted = std::min(held.wanted + 1, mostPermitsAtOnce);
    const bool isUnderWay = held.asked && now - held.askedAt < permitQuestionTimeout;
    if (isUnderWay || now < held.nextQuestion) {
        return std::nullopt;
    }
    permit_question question{++wallet.lastNonce, std::exchange(held.wanted, 0), {replica, std::nullopt, {}, false}};
    held.asked = question.nonce;
    held.askedAt = now;
    return question;
}

// A permit counts from the question: an answer that lay unread while the daemon was suspended brings nothing.
bool takeAnswer(permit_wallet &wallet, const permit_answer &answer, instant now)
{
    const auto found = wallet.held.find(answer.replica);
    if (found == wallet.held.end() || found->second.asked != answer.nonce) {
        return false;
    }
    auto &held = found->second;
    const auto until = held.askedAt + permitLifetime;
    if (held.count > 0 && now < held.validUntil) {
        // The earlier permits end first: the shorter time holds for all.
        held.validUntil = std::min(held.validUntil, until);
        held.count += answer.granted;
    } else {
        held.validUntil = until;
        held.count = answer.granted;
    }
    held.nextQuestion = now + std::clamp(answer.wait, duration(), longestWaitForPermit);
    held.asked.reset();
    return true;
}

instant permitExpectedAt(const permit_wallet &wallet, const replica_key &replica, instant now)
{
    const auto found = wallet.held.find(replica);
    return found == wallet.held.end() ? now : std::max(now, found->second.nextQuestion);
}

void keepLimited(permit_issuer &issuer, const replica_constraints &table)
{
    eraseUnlimited(issuer.buckets, table);
}

void keepLimited(permit_wallet &wallet, const replica_constraints &table)
{
    eraseUnlimited(wallet.held, table);
}

} // namespace vetchpost
