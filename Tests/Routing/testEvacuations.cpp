// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Routing/evacuations.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

const instant start(duration(100000));
const data_centre_id y("y");
const data_centre_id z("z");

evacuation_report reportOf(std::uint64_t revision, const std::vector<data_centre_id> &dataCentres, std::int64_t since = 1000)
{
    evacuation_report report{{}, store_revision(revision)};
    for (const auto &dataCentre : dataCentres) {
        report.since.emplace(dataCentre, since);
    }
    return report;
}

} // namespace

// Listings, watches and updates of several sources overtake each other.
TEST_CASE("An older report never replaces a newer one")
{
    evacuation_set known;
    CHECK(applyReport(known, reportOf(7, {z}), start));
    CHECK_FALSE(applyReport(known, reportOf(6, {}), start + duration(500)));
    CHECK(evacuatedDataCentres(known) == std::set{z});
    CHECK(known.currentAt == start);
    CHECK(applyReport(known, reportOf(8, {}), std::nullopt));
    CHECK(evacuatedDataCentres(known).empty());
    CHECK(known.currentAt == start);
}

TEST_CASE("The first report counts as a change even if it is empty, and a repetition does not")
{
    evacuation_set known;
    CHECK_FALSE(known.isKnown);
    CHECK(applyReport(known, reportOf(3, {}), start));
    CHECK(known.isKnown);
    CHECK(known.changes == 1);
    CHECK_FALSE(applyReport(known, reportOf(5, {}), start + duration(10)));
    CHECK(known.changes == 1);
    CHECK(known.currentAt == start + duration(10));
}

TEST_CASE("A data centre that is evacuated twice at once stays evacuated, and one that is evacuated again begins anew")
{
    evacuation_set known;
    applyReport(known, reportOf(3, {z}, 1000), start);
    CHECK_FALSE(addEvacuations(known, {z}, store_revision(4), start, 5000));
    CHECK(known.report.since.at(z) == 1000);
    CHECK(addEvacuations(known, {y}, store_revision(5), start, 6000));
    CHECK(evacuatedDataCentres(known) == std::set{y, z});
    CHECK(applyReport(known, reportOf(6, {y}, 7000), start));
    CHECK(known.report.since.at(y) == 6000);
    CHECK(applyReport(known, reportOf(7, {y, z}, 8000), start));
    CHECK(known.report.since.at(z) == 8000);
}

TEST_CASE("A daemon that reads for itself can lose an answer to a timeout and still keep the bound")
{
    constexpr duration bound(5000);
    constexpr duration callTimeout(1500);
    constexpr duration retryPause(250);
    const auto timing = evacuationTiming(bound);
    CHECK(timing.directReadAge + callTimeout + retryPause < bound);
    CHECK(timing.relayReadAge < timing.directReadAge);
    CHECK(2 * timing.sourceWatchWait < timing.relayReadAge);
}

TEST_CASE("Names that cannot be those of a data centre are recognised")
{
    CHECK(nameProblem("sala-pamplona").empty());
    CHECK_FALSE(nameProblem("").empty());
    CHECK_FALSE(nameProblem(std::string(maxDataCentreName + 1, 'x')).empty());
    CHECK_FALSE(nameProblem(std::string("a\0b", 3)).empty());
}
