// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Feed/table_sync.h"
#include "Libraries/Requests/place_closure.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace vetchpost {

/// Which of the places that a request may go to are closed to it.
struct closed_places
{
    std::vector<instance_id> replicas;
    /// When the first of them opens; nothing where none does.
    std::optional<instant> opensAt;
    /// How many of them rest, have a limit, leave.
    int resting = 0;
    int limited = 0;
    int leaving = 0;

    /// For the log; empty where none is closed.
    std::string text() const;
};

/// What this daemon knows of replicas that named a limit, asked for rest or leave, how far its neighbours have it, and the permits for
/// replicas with a limit: those it holds, and as the source those it issues. Logs and counts what it learns. Safe to use from several
/// threads.
class shared_constraints
{
public:
    /// \a didLearnLeaving is called after a replica was learned to leave: by an answer on its thread, by lists in tellLearned().
    shared_constraints(metrics &counters, std::function<void()> didLearnLeaving);
    ~shared_constraints();
    shared_constraints(const shared_constraints &) = delete;
    shared_constraints &operator=(const shared_constraints &) = delete;

    /// Takes in what a replica's answer to a request says, or to a call of the daemon's own (then \a request is empty). True where other
    /// daemons have to know.
    bool noteAnswer(const replica_key &replica, const replica_notice &notice, const request_id &request = {});
    /// Takes in replicas whose entries say that they leave. True where other daemons have to know.
    bool noteDepartures(const std::vector<replica_key> &replicas);
    /// A request goes to the place now.
    void noteSent(const backend &place);

    /// The closed ones of \a candidates, without those in \a tried.
    closed_places closedPlaces(const std::vector<backend> &candidates, const std::vector<instance_id> &tried) const;
    /// A question for one of the places that are closed for want of a permit, \a draw decides for which; nothing where none is due.
    std::optional<permit_question>
    wantPermit(const std::vector<backend> &candidates, const std::vector<instance_id> &tried, std::uint64_t draw);
    /// Takes the permit that the place asks for; true also where it asks for none.
    bool takePermit(const backend &place);
    /// Waits until an answer has come, not beyond \a until.
    void awaitPermit(instant until) const;

    // The neighbours.
    std::vector<feed_datagram> due(const std::optional<endpoint> &source, const std::vector<endpoint> &followers);
    feed_datagram take(const constraint_batch &list, const endpoint &from);
    /// Calls didLearnLeaving where lists have told of departures since the last call.
    void tellLearned();
    void take(const constraint_ack &receipt, const endpoint &from);
    /// As the source: issues permits.
    permit_answer issue(const permit_question &question, const endpoint &asker);
    void take(const permit_answer &answer);
    /// This daemon becomes the source, or is none any more: what it issued before is void by then.
    void beginIssuing();

    /// Those that leave by their own word.
    std::set<replica_key> leaving() const;
    /// Replicas that rest, have a limit, leave.
    closed_places counts() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
