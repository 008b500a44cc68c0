// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Feed/feed_relays.h"
#include "Libraries/Feed/feed_role.h"
#include "Libraries/Feed/feed_timing.h"
#include "Libraries/Feed/table_sync.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace vetchpost::test {

/// Simulates daemons that exchange the feed, in virtual time: the first one is the source, the others follow it. A datagram takes one
/// millisecond.
class feed_simulation
{
public:
    feed_simulation(int daemons, int dataCentres);

    /// Advances the virtual time.
    void advance(duration time);
    /// Applies a change of the next one of \a replicas replicas at the source.
    void changeReplica(std::uint64_t replicas = 900);
    /// Lets the source learn that exactly these data centres are evacuated, and push the change.
    void setEvacuated(const std::set<data_centre_id> &dataCentres);
    /// Advances the time until all daemons that are not disconnected know that exactly these data centres are evacuated. Returns how long
    /// that takes, or nothing if it takes longer than \a longest.
    std::optional<duration> timeUntilEvacuatedEverywhere(const std::set<data_centre_id> &dataCentres, duration longest);
    /// Returns the highest age of the evacuated data centres at a daemon that is not disconnected.
    duration maxEvacuationAge() const;
    /// Loses all further datagrams from and to a daemon, and ends its term if it is the source.
    void disconnect(int daemon);
    /// Loses all further datagrams between the daemons in \a cutOff and the others. The source stays the source.
    void partition(const std::set<int> &cutOff);
    /// Returns how many daemons a daemon believes there are; nothing if it does not know.
    std::optional<int> knownDaemons(int daemon) const;
    std::optional<counted_daemons> knownDaemonCount(int daemon) const;
    /// Makes a daemon the source; all daemons without a source begin to follow it.
    void makeSource(int daemon);
    /// Ends a daemon's term as the source; it sends feed_end to its followers.
    void stepDown(int daemon);
    /// Lets all daemons without a source follow this one, whether it is a source or not.
    void announceCoordinator(int daemon);
    /// Sets the share of datagrams that are lost, from 0 to 1.
    void setDatagramLoss(double share);
    /// Restarts a daemon, which loses its state and follows the source.
    void restart(int daemon);
    /// Suspends a daemon for \a time; datagrams that arrive there meanwhile are lost.
    void suspend(int daemon, duration time);
    /// Callbacks for other parts of the daemons: called at each tick for each daemon that is not suspended, and for each message that the
    /// simulation does not handle itself.
    std::function<void(int daemon)> didTick;
    std::function<void(int daemon, const endpoint &from, const feed_message &message)> didReceive;
    void send(int from, const feed_datagram &datagram);
    instant now() const;
    endpoint addressOf(int daemon) const;
    bool isSource(int daemon) const;
    bool isSuspended(int daemon) const;
    /// Returns the source of a daemon; nothing on the source itself, or if its source has not answered yet.
    std::optional<endpoint> sourceOf(int daemon) const;
    /// Returns the daemon's followers that are present.
    std::vector<endpoint> followersOf(int daemon) const;
    /// Returns the source at which the daemon's feed originates; nothing on the source itself, or before the first update.
    std::optional<endpoint> originOf(int daemon) const;

    /// Records at a daemon that a replica terminated while a request was there.
    void endReplica(int daemon, const request_identity &request, replica_end end);
    /// Advances the time until all daemons that are not disconnected refuse a request. Returns how long that takes, or nothing if it takes
    /// longer than \a longest.
    std::optional<duration> timeUntilRefusedEverywhere(const request_identity &request, duration longest);

    struct traffic
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };
    /// Returns what one daemon has sent since the last call of resetTraffic().
    const traffic &sentBy(int daemon) const;
    /// Resets the daemons' traffic and the peak age of the configuration.
    void resetTraffic();
    /// Returns the highest number of datagrams and of bytes that any daemon but the source has sent.
    traffic maxSentByFollower() const;

    int daemons() const;
    /// Returns how many followers the source serves directly.
    int directFollowerCount() const;
    /// Returns how many daemons the source counts, itself included.
    int countedDaemons() const;
    /// Returns the longest time since a daemon that is not disconnected last knew its configuration to be the newest.
    duration maxConfigurationAge() const;
    /// Returns the highest maxConfigurationAge() since the last call of resetTraffic().
    duration peakConfigurationAge() const;
    /// Returns how many daemons have no source.
    int daemonsWithoutSource() const;
    /// Returns whether all daemons that are not disconnected have all changes.
    bool areAllUpToDate() const;

private:
    struct node
    {
        endpoint address;
        data_centre_id dataCentre;
        feed_publisher feed;
        feed_follower follower;
        store_revision upTo;
        instant currentAt;
        std::optional<instant> lastUpdateAt;
        feed_role role;
        bool isDisconnected = false;
        traffic sent;
        instant suspendedUntil;
        crash_suspects suspects;
        table_sync<crash_suspects> sync;
    };
    struct datagram_in_flight
    {
        instant arrives;
        int from = 0;
        int to = 0;
        feed_message message;
    };

    void tick();
    void updateDaemonCount(int number);
    void read(node &reader);
    void push(int number);
    void subscribeIfDue(int number);
    void deliver(const datagram_in_flight &datagram);
    void handle(int number, int from, const feed_subscription &subscription);
    void handle(int number, int from, const feed_update &update);
    void handle(int number, int from, const feed_referral &referral);
    void syncSuspects(int number);
    void resetNode(node &next);
    int daemonAt(const endpoint &address) const;
    void pushEvacuations(int number);

    feed_timing m_timing = feedTiming(duration(4000));
    std::vector<node> m_nodes;
    std::deque<datagram_in_flight> m_inFlight;
    instant m_now{duration(1000000)};
    instant m_nextPush{duration(1000000)};
    store_revision m_revision{100};
    duration m_peakConfigurationAge{};
    double m_lossRate = 0;
    std::set<int> m_cutOff;
    /// The number of daemons that the last source has recorded in the key-value service; 0 if none has.
    int m_recordedDaemons = 0;
    std::mt19937 m_random{7};
};

} // namespace vetchpost::test
