// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/Feed/feedWorld.h"

#include "Libraries/Requests/place_closure.h"

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace vetchpost::test {

/// Daemons with requests for one replica that names a limit, in virtual time, by the code that the daemons run. Counts what reaches the
/// replica from the daemons that it has told.
class limit_world
{
public:
    /// \a perSecond requests come to all daemons together, each to one at random.
    limit_world(int daemons, double perSecond, unsigned seed = 1);

    feed_world &feed()
    {
        return m_feed;
    }

    void advance(duration time);
    /// What the replica's answers name from now on.
    void nameLimit(std::optional<double> limit);
    /// The daemon starts anew and knows nothing.
    void restart(int daemon);

    /// The most requests that reached the replica within a window of four seconds that ended contactTime or longer after it first named a
    /// limit, from daemons that it had told half a second before each.
    int mostFromTold() const;
    /// The same from all daemons, told or not, from the time on at which all have heard of it.
    int mostFromAll() const;
    /// What the users' rule allows there.
    static double allowed(double limit);
    /// All that reached the replica in the last \a time.
    int reachedInLast(duration time) const;
    /// The replica says to one daemon that it leaves.
    void tellLeaving(int daemon);
    /// A daemon reads in the replica's entry that it leaves.
    void readDeparture(int daemon);
    /// How long it takes until all daemons know; nothing where it takes longer than \a longest.
    std::optional<duration> allKnowLeavingAfter(duration longest);
    /// Daemons that know of a limit.
    int informed() const;
    /// Questions for permits so far.
    std::uint64_t questions() const
    {
        return m_questions;
    }

private:
    struct node
    {
        replica_constraints table;
        table_spread<replica_constraints> spread;
        permit_wallet wallet;
        permit_issuer issuer;
        bool wasSource = false;
        /// When it passed on the first answer that named a limit.
        std::optional<instant> toldAt;
    };
    struct sent_request
    {
        instant arrives;
        int daemon = 0;
    };
    struct pending_answer
    {
        int daemon = 0;
        replica_notice notice;
    };
    struct arrival
    {
        instant at;
        bool isTold = false;
    };

    void tick(int daemon);
    void receive(int daemon, const endpoint &from, const feed_message &message);
    void takeRequest(int daemon);
    void ask(int daemon, const permit_question &question);
    permit_answer issue(int daemon, const permit_question &question, const endpoint &asker);
    void deliver();
    int mostOf(bool fromAll) const;

    feed_world m_feed;
    double m_perSecond;
    std::mt19937 m_random;
    std::vector<node> m_nodes;
    std::deque<sent_request> m_sent;
    std::deque<pending_answer> m_answers;
    std::vector<arrival> m_arrivals;
    std::optional<double> m_limit;
    std::optional<instant> m_firstNamed;
    std::uint64_t m_questions = 0;
};

} // namespace vetchpost::test
