// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/rcu_snapshot.h"
#include "Libraries/Configuration/configuration_head.h"
#include "Libraries/Daemon/data_centre_summary.h"
#include "Libraries/Daemon/routing_snapshot.h"
#include "Libraries/Groups/allotment.h"
#include "Libraries/Groups/group_state.h"
#include "Libraries/Groups/instance_tracker.h"
#include "Libraries/Groups/planning.h"
#include "Libraries/Peers/exchange.h"
#include "Libraries/Peers/exchange_targets.h"
#include "Libraries/Settings/daemon_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// Names of the facts and registers that daemons exchange. A name that ends in '/' is a prefix.
namespace exchange_names {
constexpr auto description = "about";
constexpr auto demand = "demand";
constexpr auto instancePrefix = "i/";
constexpr auto configuration = "configuration";
constexpr auto allotment = "local/allotment";
constexpr auto instanceList = "local/instances";
constexpr auto summaryPrefix = "summary/";
constexpr auto alivePrefix = "alive/";
} // namespace exchange_names

/// One daemon, as the operators' interface shows it.
struct member_status
{
    daemon_id daemon;
    daemon_description description;
    peer_liveness liveness = peer_liveness::unproven;
};

/// One group, as the operators' interface shows it.
struct group_status
{
    allotted_group group;
    group_state state = group_state::broken;
    /// For each member that has not confirmed the group: its instance id and the step that is still missing.
    std::vector<std::string> awaited;
    /// How long the group has been in this state.
    duration timeInState{};
};

/// What this daemon knows about the other daemons, the instances, the groups and the configuration. Thread-safe. Requests read
/// only the routing snapshot.
class cluster_state
{
public:
    cluster_state(const daemon_settings &settings, incarnation run);
    ~cluster_state();
    cluster_state(const cluster_state &) = delete;
    cluster_state &operator=(const cluster_state &) = delete;

    // Commands. Those that return a bool return true if the change should be sent to the other daemons at once.

    /// Advances this daemon's heartbeat and forgets daemons that are long dead.
    void advanceOwnHeartbeat(instant now);
    /// Sets a fact of this daemon, which the exchange sends to the daemons of the data centre.
    bool setOwnFact(const std::string &name, const std::string &value);
    /// Stores a value in a shared register and applies it here. Returns false if the register already holds a value that is at least as
    /// new.
    bool publishRegister(const shared_register &value);
    /// Applies the heartbeats in a digest that another daemon sent.
    void receiveDigest(const exchange_digest &digest, instant now);
    /// Applies the facts and registers that another daemon sent.
    bool receiveDelta(const exchange_delta &delta, instant now);
    /// Records the result of this daemon's own probe of an instance and publishes it to the other daemons.
    bool recordObservation(const instance_observation &observation, instant now);
    /// Publishes whether this daemon coordinates its data centre.
    void setCoordinator(bool isCoordinator);
    /// Publishes that this daemon is stopping.
    void setStopping();
    /// Builds a new routing snapshot if anything has changed since the last one, and once a second in any case.
    void refreshSnapshot(instant now);

    // Queries.

    const rcu_snapshot<routing_snapshot> &routing() const;
    /// The digest to send to a peer within the scope.
    exchange_digest digest(exchange_scope scope) const;
    /// The facts and registers that the sender of a digest lacks, within the scope.
    exchange_delta delta(const exchange_digest &theirs, exchange_scope scope) const;
    /// Whether the sender of a digest has data that this daemon lacks.
    bool isBehindOf(const exchange_digest &theirs) const;
    /// The peers to choose from for a round of exchanges.
    peer_candidates candidates(instant now) const;
    /// The instances with model engines that this daemon probes.
    std::vector<listed_instance> instancesToProbe(instant now) const;
    /// The daemons of this data centre, and those in the other data centres' summaries.
    std::vector<member_status> members(instant now) const;
    /// The groups of this data centre.
    std::vector<group_status> groups(instant now) const;
    /// The address of the peers' interface of a daemon in any data centre. Nothing if the daemon is unknown.
    std::optional<endpoint> peerAddress(const daemon_id &daemon, instant now) const;
    /// The allotment of this data centre as its daemons know it.
    allotment knownAllotment() const;
    /// The head of the configuration in force. Nothing if this daemon knows no configuration.
    std::optional<configuration_head> head() const;
    /// The configuration in force. Null if this daemon knows no configuration.
    std::shared_ptr<const configuration> wanted() const;
    instance_tracker tracker() const;
    /// Whether another live daemon of the data centre reports that it is the coordinator.
    bool hasOtherCoordinator(instant now) const;
    /// The summary of this data centre that its coordinator publishes to the other data centres.
    data_centre_summary ownSummary(instant now) const;

    /// This data centre's share of each deployment of a model. Nothing if no configuration is in force here. The number of replicas is
    /// unset while the shares cannot be computed.
    std::optional<std::vector<deployment_want>> wants(instant now) const;
    /// The demand of an organisation at each live daemon of the data centre, in tokens per second. This daemon's comes first.
    std::vector<double> demands(const organisation_id &organisation, instant now) const;
    /// The number of known data centres, including this one.
    std::size_t dataCentreCount() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
