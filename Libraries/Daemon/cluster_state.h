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

/// Names of the facts and registers that daemons exchange.
namespace exchange_names {
constexpr auto about = "about";
constexpr auto demand = "demand";
constexpr auto instancePrefix = "i/";
constexpr auto configuration = "configuration";
constexpr auto allotment = "local/allotment";
constexpr auto instanceList = "local/instances";
constexpr auto summaryPrefix = "summary/";
constexpr auto alivePrefix = "alive/";
} // namespace exchange_names

/// One daemon as the operators see it.
struct member_status
{
    daemon_id daemon;
    about_daemon about;
    peer_liveness liveness = peer_liveness::unproven;
};

/// One group as the operators see it.
struct group_status
{
    allotted_group group;
    group_state standing = group_state::broken;
    /// What is awaited of each member that has not confirmed.
    std::vector<std::string> awaited;
    duration standingFor{};
};

/// Everything this daemon knows of the others, of the instances and of the configuration. Safe to use from several threads;
/// requests read only the snapshot.
class cluster_state
{
public:
    cluster_state(const daemon_settings &settings, incarnation run);
    ~cluster_state();
    cluster_state(const cluster_state &) = delete;
    cluster_state &operator=(const cluster_state &) = delete;

    // Commands. Those that return a bool say whether others should hear of the change at once.

    void beatNow(instant now);
    bool setOwnFact(const std::string &name, const std::string &value);
    bool publishRegister(const shared_register &value);
    void takeDigest(const exchange_digest &digest, instant now);
    bool takeDelta(const exchange_delta &delta, instant now);
    /// What this daemon saw itself of one of its share of the instances.
    bool observe(const instance_observation &observation, instant now);
    void setCoordinator(bool isCoordinator);
    void setStopping();
    /// Makes the snapshot anew where anything has changed since the last one.
    void refreshSnapshot(instant now);

    // Queries.

    const rcu_snapshot<routing_snapshot> &routing() const;
    exchange_digest digest(exchange_scope scope) const;
    exchange_delta delta(const exchange_digest &theirs, exchange_scope scope) const;
    bool isBehindOf(const exchange_digest &theirs) const;
    peer_candidates candidates(instant now) const;
    /// The instances that this daemon observes.
    std::vector<listed_instance> observedShare(instant now) const;
    std::vector<member_status> members(instant now) const;
    std::vector<group_status> groups(instant now) const;
    /// The peers' interface of a daemon of any data centre.
    std::optional<endpoint> peerAddress(const daemon_id &daemon, instant now) const;
    std::optional<configuration_head> head() const;
    std::shared_ptr<const configuration> wanted() const;
    instance_tracker tracker() const;
    /// Whether a live daemon of the data centre other than this one says that it coordinates.
    bool isAnotherCoordinator(instant now) const;
    /// What the coordinator of this data centre tells the others.
    data_centre_summary ownSummary(instant now) const;

    /// What this data centre is to run: its share of every deployment.
    /// Nothing while no configuration is in force here.
    std::optional<std::vector<deployment_want>> wants(instant now) const;
    /// What each live daemon of the data centre was asked for by an organisation, in tokens a second; the own part first.
    std::vector<double> demands(const organisation_id &organisation, instant now) const;
    std::size_t dataCentreCount() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
