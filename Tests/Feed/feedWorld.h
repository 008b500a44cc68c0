// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/feed_follower.h"
#include "Libraries/Feed/feed_relays.h"
#include "Libraries/Feed/feed_role.h"
#include "Libraries/Feed/feed_timing.h"
#include "Libraries/Feed/table_spread.h"

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace vetchpost::test {

/// Daemons that pass the feed on, in virtual time: the first one reads, the others follow it. A datagram takes a millisecond.
class feed_world
{
public:
    feed_world(int daemons, int dataCentres);

    void advance(duration time);
    /// The source takes in one change of one of so many replicas.
    void change(std::uint64_t replicas = 900);
    /// Nothing comes from or goes to a daemon any more.
    void cutOff(int daemon);
    /// All that have lost their source find this one.
    void elect(int daemon);
    /// The source is none any more, and tells its followers.
    void endTerm(int daemon);
    /// All that have lost their source are told of this one, whatever it is by now.
    void pointTo(int daemon);
    /// From now on this share of the datagrams is lost.
    void loseDatagrams(double share);
    /// The daemon starts anew and knows nothing.
    void restart(int daemon);
    /// The daemon does nothing and hears nothing for so long.
    void suspend(int daemon, duration time);
    /// What runs on the daemons beside the feed: called for each daemon that is not suspended at each tick, and for each message that is
    /// not the feed's own.
    std::function<void(int daemon)> didTick;
    std::function<void(int daemon, const endpoint &from, const feed_message &message)> didReceive;
    void send(int from, const feed_datagram &datagram);
    instant now() const;
    endpoint addressOf(int daemon) const;
    bool isSource(int daemon) const;
    bool isSuspended(int daemon) const;
    /// Whom a daemon follows, if it has heard it, and who follows the daemon.
    std::optional<endpoint> sourceOf(int daemon) const;
    std::vector<endpoint> followersOf(int daemon) const;
    /// Where what the daemon is fed was read.
    std::optional<endpoint> originOf(int daemon) const;

    /// A replica ends under a request of this daemon.
    void endReplica(int daemon, const request_identity &request, replica_end end);
    /// How long it takes until all daemons that are not cut off refuse a request; nothing where it takes longer than \a longest.
    std::optional<duration> refusedEverywhereAfter(const request_identity &request, duration longest);

    struct traffic
    {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };
    /// What one daemon has sent since the last call of resetTraffic().
    const traffic &sentBy(int daemon) const;
    void resetTraffic();
    /// The most that any daemon but the source has sent.
    traffic mostSentByFollower() const;

    int daemons() const;
    int directFollowers() const;
    /// How many daemons the source counts, itself included.
    int daemonsCounted() const;
    /// The longest time for which any daemon that is not cut off has not known the configuration to be the newest.
    duration oldestConfiguration() const;
    /// The longest such time of any moment since the last call of resetTraffic().
    duration oldestConfigurationSeen() const;
    /// Daemons that have no source.
    int lost() const;
    bool haveAllChanges() const;

private:
    struct node
    {
        endpoint address;
        data_centre_id dataCentre;
        feed_source feed;
        feed_follower follower;
        std::uint64_t upTo = 0;
        instant currentAt;
        std::optional<instant> lastFed;
        feed_role role;
        bool isCutOff = false;
        traffic sent;
        instant suspendedUntil;
        crash_suspects suspects;
        table_spread<crash_suspects> spread;
    };
    struct travelling
    {
        instant arrives;
        int from = 0;
        int to = 0;
        feed_message message;
    };

    void tick();
    void read(node &reader);
    void push(int number);
    void subscribeIfDue(int number);
    void deliver(const travelling &datagram);
    void take(int number, int from, const feed_subscription &subscription);
    void take(int number, int from, const feed_update &update);
    void take(int number, int from, const feed_referral &referral);
    void spreadSuspects(int number);
    void beginAnew(node &next);
    int numberOf(const endpoint &address) const;

    feed_timing m_timing = feedTiming(duration(4000));
    std::vector<node> m_nodes;
    std::deque<travelling> m_onTheWay;
    instant m_now{duration(1000000)};
    instant m_nextPush{duration(1000000)};
    std::uint64_t m_revision = 100;
    duration m_oldestSeen{};
    double m_lostShare = 0;
    std::mt19937 m_random{7};
};

} // namespace vetchpost::test
