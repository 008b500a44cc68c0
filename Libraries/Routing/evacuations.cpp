// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/evacuations.h"

#include <algorithm>

namespace vetchpost {

namespace {

bool hasSameDataCentres(const evacuation_report &left, const evacuation_report &right)
{
    return std::equal(left.since.begin(), left.since.end(), right.since.begin(), right.since.end(), [](const auto &one, const auto &other) {
        return one.first == other.first;
    });
}

} // namespace

// A set reaches a follower behind a relay with an age of at most two watches, a relay's and a follower's subscription period, which stays
// below directReadAge. After that a listing may still lose one answer to a timeout of the key-value service before the bound is reached.
evacuation_timing evacuationTiming(duration evacuation)
{
    const auto part = [&](double share) { return std::chrono::duration_cast<duration>(evacuation * share); };
    return {part(0.15), part(0.5), part(0.4)};
}

bool applyReport(evacuation_set &known, const evacuation_report &report, std::optional<instant> currentAt)
{
    if (known.isKnown && report.revision < known.report.revision) {
        return false;
    }
    const bool hasChanged = !known.isKnown || !hasSameDataCentres(known.report, report);
    auto next = report;
    for (auto &[dataCentre, since] : next.since) {
        const auto before = known.report.since.find(dataCentre);
        since = before == known.report.since.end() ? since : std::min(since, before->second);
    }
    known.report = std::move(next);
    known.isKnown = true;
    known.changes += hasChanged ? 1 : 0;
    if (currentAt) {
        known.currentAt = std::max(known.currentAt.value_or(*currentAt), *currentAt);
    }
    return hasChanged;
}

bool addEvacuations(
    evacuation_set &known, const std::vector<data_centre_id> &added, store_revision upTo, instant currentAt, std::int64_t calendar)
{
    auto next = known.report;
    next.revision = std::max(next.revision, upTo);
    for (const auto &dataCentre : added) {
        next.since.try_emplace(dataCentre, calendar);
    }
    return applyReport(known, next, currentAt);
}

std::set<data_centre_id> evacuatedDataCentres(const evacuation_set &known)
{
    std::set<data_centre_id> result;
    for (const auto &[dataCentre, since] : known.report.since) {
        result.insert(dataCentre);
    }
    return result;
}

std::vector<evacuation_change> changesSince(const std::set<data_centre_id> &logged, const std::set<data_centre_id> &present)
{
    std::vector<evacuation_change> changes;
    for (const auto &dataCentre : present) {
        if (!logged.contains(dataCentre)) {
            changes.push_back({dataCentre, true});
        }
    }
    for (const auto &dataCentre : logged) {
        if (!present.contains(dataCentre)) {
            changes.push_back({dataCentre, false});
        }
    }
    return changes;
}

std::string nameProblem(const std::string &name)
{
    if (name.empty()) {
        return "the name of the data centre is missing";
    }
    if (name.size() > maxDataCentreName) {
        return "the name of the data centre is too long";
    }
    const bool hasControl = std::any_of(name.begin(), name.end(), [](char byte) { return static_cast<unsigned char>(byte) < ' '; });
    return hasControl ? "the name of the data centre holds a control character" : std::string();
}

} // namespace vetchpost
