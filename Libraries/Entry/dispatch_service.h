// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Dispatch/slot_dispatcher.h"
#include "Libraries/Entry/dispatch_client.h"
#include "Libraries/Entry/dispatch_socket.h"
#include "Libraries/Entry/dispatcher_directory.h"
#include "Libraries/Entry/entry_view.h"
#include "Libraries/Settings/entry_settings.h"

#include <memory>

namespace vetchpost {

/// Receives the datagrams of slot dispatch on a thread of its own: passes answers on to the dispatch_client, and decides about the slots of
/// the groups that this daemon owns as a dispatcher. What it knows of requests is soft state and begins empty.
class dispatch_service
{
public:
    dispatch_service(const entry_settings &settings,
                     dispatch_socket &socket,
                     dispatch_client &client,
                     const dispatcher_directory &directory,
                     metrics &counters);
    ~dispatch_service();
    dispatch_service(const dispatch_service &) = delete;
    dispatch_service &operator=(const dispatch_service &) = delete;

    /// Binds the socket and starts the thread, if the settings have an address for slot requests. Throws if the address cannot be bound.
    void start();
    void stop();
    /// Sets the newest view, whose groups the thread takes over.
    void updateView(std::shared_ptr<const entry_view> view);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// Returns the groups of a service that the daemon at \a address owns as a dispatcher, with their cold times as of \a now.
std::vector<dispatch_group>
ownedGroups(const entry_view &view, const served_service &service, const dispatcher_list &list, const endpoint &address, instant now);

} // namespace vetchpost
