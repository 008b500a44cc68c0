// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/identifier.h"
#include "Libraries/Base/instant.h"
#include "Libraries/Platform/key_value_service.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Evacuated data centres, to whose replicas no request may be sent (docs/design/EVACUATION.md).
namespace vetchpost {

/// The evacuated data centres as of one revision of the key-value service.
struct evacuation_report
{
    /// When each data centre was first known to be evacuated, in calendar milliseconds.
    std::map<data_centre_id, std::int64_t> since;
    /// The revision of the key-value service that the report describes.
    store_revision revision;

    bool operator==(const evacuation_report &) const = default;
};

/// What a daemon knows of the evacuated data centres.
struct evacuation_set
{
    evacuation_report report;
    /// Whether a report has been read or received.
    bool isKnown = false;
    /// The latest time at which the report is known to have been the newest.
    std::optional<instant> currentAt;
    /// Number of changes of the data centres, the first report included.
    std::uint64_t changes = 0;
};

/// A data centre whose evacuation began or ended.
struct evacuation_change
{
    data_centre_id dataCentre;
    bool hasBegun = false;
};

/// Times derived from the time within which an evacuation has to be in force at every daemon.
struct evacuation_timing
{
    /// How long a watch of the source waits. The age of the source's set stays below twice this time.
    duration sourceWatchWait{};
    /// A follower without followers of its own lists the evacuations once its set is this old.
    duration directReadAge{};
    /// The same for a relay: shorter, so that its followers need not read the key-value service.
    duration relayReadAge{};
};

/// Returns the times for the bound \a evacuation.
evacuation_timing evacuationTiming(duration evacuation);

/// Limits on what is read from the key-value service, so that a set always fits into a datagram.
constexpr std::size_t maxEvacuations = 32;
constexpr std::size_t maxDataCentreName = 128;

/// Replaces the set by a report unless that is older. \a currentAt: when the report was the newest, if that is known. Returns whether the
/// data centres have changed, or the set is known for the first time.
bool applyReport(evacuation_set &known, const evacuation_report &report, std::optional<instant> currentAt);
/// Adds data centres whose evacuation was found at \a calendar (milliseconds) by a watch that covers all changes up to \a upTo. Returns
/// whether the data centres have changed.
bool addEvacuations(
    evacuation_set &known, const std::vector<data_centre_id> &added, store_revision upTo, instant currentAt, std::int64_t calendar);
/// Returns the names of the evacuated data centres.
std::set<data_centre_id> evacuatedDataCentres(const evacuation_set &known);
/// Returns the differences between the data centres that were \a logged before and the present ones.
std::vector<evacuation_change> changesSince(const std::set<data_centre_id> &logged, const std::set<data_centre_id> &present);
/// Returns why a name cannot be that of a data centre; empty if it can.
std::string nameProblem(const std::string &name);

} // namespace vetchpost
