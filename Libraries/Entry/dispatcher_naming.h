// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/dispatcher_directory.h"
#include "Libraries/Entry/store_follower.h"
#include "Libraries/Feed/dispatcher_choice.h"
#include "Libraries/Settings/entry_settings.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace vetchpost {

/// This daemon's part in the choice of dispatchers: it reports candidates to its source, chooses as the source, and forwards the list. Does
/// nothing unless the settings have an address for slot requests. Thread-safe.
class dispatcher_naming
{
public:
    /// \a localDemand returns the number of requests for each model that this daemon holds.
    dispatcher_naming(const entry_settings &settings,
                      store_follower &store,
                      dispatcher_directory &directory,
                      std::function<std::vector<model_demand>()> localDemand);

    /// Adds the candidates and the digest of the known list to a subscription.
    void addTo(feed_subscription &subscription) const;
    /// Takes the list from an update of this daemon's source.
    void apply(const feed_update &update);
    /// Begins or ends a term as the source.
    void setSource(bool isSource);
    /// Chooses the dispatchers if this daemon is the source and a choice is due.
    void chooseIfDue();
    /// Records that this daemon is shutting down, so that it is not named any more.
    void end();

private:
    dispatcher_candidate ownCandidate() const;
    std::vector<dispatcher_candidate> presentCandidates() const;
    std::vector<model_demand> totalDemand() const;

    const entry_settings &m_settings;
    store_follower &m_store;
    dispatcher_directory &m_directory;
    const std::function<std::vector<model_demand>()> m_localDemand;
    /// A daemon that subscribed within this time counts as present.
    const duration m_presenceWindow;
    std::atomic<bool> m_isEnding = false;
    std::mutex m_mutex;
    bool m_isSource = false;
    instant m_nextChoice;
    dispatcher_choice m_choice;
};

} // namespace vetchpost
