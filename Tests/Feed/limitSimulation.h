// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Feed/feedSimulation.h"

#include "Libraries/Requests/replica_block.h"

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace vetchpost::test {

/// Simulates daemons with requests for one replica that names a rate limit, in virtual time, with the code that the daemons run. Counts the
/// requests that reach the replica, and which of them come from daemons that it has informed.
class limit_simulation
{
public:
    /// All daemons together receive \a perSecond requests per second, each at a random daemon.
    limit_simulation(int daemons, double perSecond, unsigned seed = 1);

    feed_simulation &feed()
    {
        return m_feed;
    }

    void advance(duration time);
    /// Sets the limit, in requests per second, that the replica's answers name from now on; without a value they name none.
    void setNamedLimit(std::optional<double> limit);
    /// Restarts a daemon, which loses its state.
    void restart(int daemon);

    /// Returns the highest number of requests from informed daemons within a window of four seconds. Only windows count that end at least
    /// three seconds after the replica first named a limit. A daemon is informed half a second after it relayed an answer that named one.
    int maxFromInformed() const;
    /// Returns the same for all daemons, informed or not, counting requests from the time at which all have learned of the limit.
    int maxFromAll() const;
    /// Returns how many requests a limit allows within such a window.
    static double allowedRequests(double limit);
    /// Returns how many requests reached the replica within the last \a time.
    int arrivalsInLast(duration time) const;
    /// Lets the replica inform one daemon that it is leaving.
    void announceDeparture(int daemon);
    /// Lets a daemon read in the replica's entry that it is leaving.
    void readDeparture(int daemon);
    /// Advances the time until all daemons know that the replica is leaving. Returns how long that takes, or nothing if it takes longer
    /// than \a longest.
    std::optional<duration> timeUntilDepartureKnown(duration longest);
    /// Returns how many daemons know a limit.
    int informedDaemons() const;
    /// Returns how many requests for permits have been made so far.
    std::uint64_t permitRequests() const
    {
        return m_permitRequests;
    }

private:
    struct node
    {
        replica_constraints table;
        table_sync<replica_constraints> sync;
        permit_holder permitHolder;
        permit_issuer issuer;
        bool wasSource = false;
        /// When the daemon relayed the first answer that named a limit.
        std::optional<instant> informedAt;
    };
    struct sent_request
    {
        instant arrives;
        int daemon = 0;
    };
    struct pending_response
    {
        int daemon = 0;
        replica_notice notice;
    };
    struct arrival
    {
        instant at;
        bool isFromInformed = false;
    };

    void tick(int daemon);
    void receive(int daemon, const endpoint &from, const feed_message &message);
    void routeRequest(int daemon);
    void requestPermits(int daemon, const permit_request &permitRequest);
    permit_response issueAtSource(int daemon, const permit_request &permitRequest, const endpoint &requester);
    void deliverInFlight();
    int maxInWindow(bool fromAll) const;

    feed_simulation m_feed;
    double m_perSecond;
    std::mt19937 m_random;
    std::vector<node> m_nodes;
    std::deque<sent_request> m_inFlight;
    std::deque<pending_response> m_answers;
    std::vector<arrival> m_arrivals;
    std::optional<double> m_limit;
    std::optional<instant> m_firstNamed;
    std::uint64_t m_permitRequests = 0;
};

} // namespace vetchpost::test
