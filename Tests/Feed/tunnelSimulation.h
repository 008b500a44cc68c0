// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Feed/proxy_choice.h"
#include "Libraries/Requests/work_admission.h"
#include "Libraries/Routing/direct_paths.h"
#include "Tests/Feed/feedSimulation.h"

#include <random>

namespace vetchpost::test {

/// Simulates daemons of which some lose all replicas at one moment, in virtual time and with the decisions that the daemons make: when a
/// daemon counts as cut off, what they announce, whom they ask for tunnels and what these bear.
class tunnel_simulation
{
public:
    /// \a capacity is the number of requests and tunnels that a daemon bears at once.
    tunnel_simulation(int daemons, double requestsPerSecond, int capacity);

    void advance(duration time);
    /// Cuts off the daemons for which \a isCut returns true.
    void cutOff(const std::function<bool(int daemon)> &isCut);
    /// From now on the results count.
    void beginCount();

    struct counts
    {
        int offered = 0;
        int served = 0;
        /// Requests to other daemons for tunnels.
        int asked = 0;
    };
    /// The requests that arrived at daemons which are cut off, and at the others.
    counts atCut() const;
    counts atOthers() const;
    /// The most tunnels that one daemon has carried at once, and the mean of all that carry any.
    int mostCarried() const;
    double meanCarried() const;
    feed_simulation &feed();

private:
    struct request
    {
        int daemon = 0;
        instant arrived;
        /// When the next step is due: the end of a connect, or the answer of a daemon that was asked.
        instant due;
        bool isConnecting = false;
        instance_id replica;
        std::optional<int> carrier;
        std::uint64_t ticket = 0;
        int attempts = 0;
        int asked = 0;
        bool isCounted = false;
    };
    struct node
    {
        direct_paths paths;
        proxy_table table;
        table_sync<proxy_table> sync;
        std::map<endpoint, proxy_use> uses;
        work_admission admission;
        int mostTunnels = 0;
        bool isCut = false;
        double owed = 0;
    };
    struct work_end
    {
        int daemon = 0;
        bool isTunnel = false;
        /// The daemon that uses the tunnel.
        std::optional<int> user;
    };

    void tick(int daemon);
    void receive(int daemon, const endpoint &from, const feed_message &message);
    void arrive(int daemon);
    /// Makes the request's next step. Returns true once it is over.
    bool step(request &next);
    bool askForTunnel(request &next);
    bool connect(request &next);
    void serve(const request &next, int carrier, bool isTunnel);
    bool finish(const request &next, bool isServed);
    counts &countsFor(const request &next);
    void announce(int daemon);
    int daemonAt(const endpoint &address) const;

    feed_simulation m_feed;
    const double m_perSecond;
    std::mt19937_64 m_random{11};
    std::vector<node> m_nodes;
    std::vector<request> m_requests;
    std::multimap<instant, work_end> m_running;
    std::uint64_t m_lastTicket = 0;
    bool m_isCounting = false;
    counts m_atCut;
    counts m_atOthers;
};

} // namespace vetchpost::test
