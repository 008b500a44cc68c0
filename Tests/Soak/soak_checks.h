// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Soak/soak_facts.h"

namespace vetchpost::test {

using broken_promises = std::vector<broken_promise>;

/// The bounds that the promises name; the daemons' settings and the stand-ins are given the same.
struct soak_bounds
{
    /// How long an announced leave of a replica may go unnoticed.
    duration drain{2000};
    /// Between SIGTERM and SIGKILL.
    duration grace{8000};
    /// Within this after its last byte a request may cross the close of its connection.
    duration crossing{200};
    duration configurationApply{2000};
    duration rollbackSlack{250};
    duration keyRevocation{5000};
    /// How long a daemon must have been undisturbed to be held to bounds of time.
    duration contact{3000};
    /// Sends of a request under which three replicas have ended, from the contact time after the third on.
    std::size_t deadlySends = 3;
    /// How soon a replica must be free of a request whose client left, and what this machine may add: the process that plays all replicas
    /// and the client's clock each wake up some tens of milliseconds late when all processors are taken.
    /// A daemon counts as told so long after an answer that holds a limit or a time of rest.
    duration told{500};
    /// Within each such window a replica gets its limit and a half, and some more.
    duration limitWindow{4000};
    double limitFactor = 1.5;
    double limitSlack = 5;
    std::ptrdiff_t restSends = 2;
    duration release{500};
    duration releaseMargin{250};
    duration recovery{12000};
    double retryShare = 0.2;
    /// Two for each daemon of the usual four, as on the larger deployments.
    int retrySlack = 8;
    duration retryWindow{10000};
    /// A daemon's limits: memory as on the deployments; a thread for each of the 64 connections and 40 of its own; for each of these
    /// connections a descriptor towards the client and one towards a replica, and 64 others.
    long memoryKilobytes = 160L * 1024L;
    long threads = 104;
    long descriptors = 192;
};

/// Every request that was read ends in its own complete answer or a refusal.
broken_promises checkAnswers(const soak_facts &facts, const soak_bounds &bounds);
/// What was said not to have run has not run and does not run later.
broken_promises checkRefusals(const soak_facts &facts);
broken_promises checkSingleRuns(const soak_facts &facts);
/// Nothing new reaches a replica that has long said that it leaves.
broken_promises checkLeaving(const soak_facts &facts, const soak_bounds &bounds);
/// No replica joins a group while the head of its earlier one is open, and nothing runs in a group that lacks members.
broken_promises checkGroups(const soak_facts &facts);
/// The repeats of all daemons together stay within their bound in every window.
broken_promises checkRepeats(const soak_facts &facts, const soak_bounds &bounds);
/// A request under which three replicas have ended is hardly sent to any more, once the daemons have had time to tell each other.
broken_promises checkDeadlyRequests(const soak_facts &facts, const soak_bounds &bounds);
/// What the daemons that a replica has told of its limit send it together stays within the limit.
broken_promises checkLimits(const soak_facts &facts, const soak_bounds &bounds);
/// A replica that asked a daemon for rest gets hardly anything from it in that time.
broken_promises checkRests(const soak_facts &facts, const soak_bounds &bounds);
/// A daemon that a replica has told that it leaves sends it nothing that came later, in touch or not.
broken_promises checkToldLeaving(const soak_facts &facts, const soak_bounds &bounds);
broken_promises checkWithdrawnKeys(const soak_facts &facts, const soak_bounds &bounds);
/// A version is in force in time everywhere, and no daemon goes back behind one.
broken_promises checkConfigurations(const soak_facts &facts, const soak_bounds &bounds);
/// A daemon that is told to stop ends in time, and no other one ends.
broken_promises checkStops(const soak_facts &facts, const soak_bounds &bounds);
/// A client that left frees its replica.
broken_promises checkReleases(const soak_facts &facts, const soak_bounds &bounds);
broken_promises checkRecovery(const soak_facts &facts, const soak_bounds &bounds);
broken_promises checkResources(const soak_facts &facts, const soak_bounds &bounds);

broken_promises checkAll(const soak_facts &facts, const soak_bounds &bounds);

} // namespace vetchpost::test
