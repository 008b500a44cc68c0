// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatch_service.h"

#include "Libraries/Dispatch/finished_tickets.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace vetchpost {

namespace {

/// How long the thread waits for a datagram: shorter while requests wait, because their slots may be granted or their time may end.
constexpr duration idleWait(50);
constexpr duration queueWait(5);
/// Datagrams that are handled before expired grants are looked for.
constexpr int datagramsPerRound = 64;
/// How often changed groups are taken over. The view is rebuilt up to 25 times per second.
constexpr duration groupUpdatePeriod(40);
constexpr duration askerCheckPeriod(10000);

} // namespace

std::vector<dispatch_group>
ownedGroups(const entry_view &view, const served_service &service, const dispatcher_list &list, const endpoint &address, instant now)
{
    std::vector<dispatch_group> groups;
    if (!service.engine) {
        return groups;
    }
    for (const auto &model : service.engine->models) {
        const auto *named = findDispatchers(list, service.id, model.id);
        if (named == nullptr) {
            continue;
        }
        for (const auto &head : view.backends(service, model.id)) {
            const auto &owner = named->dispatchers[dispatcherIndex(head.replica, named->dispatchers.size())];
            if (owner.address == address) {
                groups.push_back({head.replica,
                                  head.incarnation,
                                  model.id,
                                  head.dataCentre,
                                  head.slots,
                                  model.pace,
                                  std::max(duration(), head.coldUntil - now)});
            }
        }
    }
    return groups;
}

struct dispatch_service::private_data
{
    const entry_settings &settings;
    dispatch_socket &socket;
    dispatch_client &client;
    const dispatcher_directory &directory;
    gauge granted;
    gauge queued;
    counter duplicates;

    std::mutex viewMutex;
    std::shared_ptr<const entry_view> newestView;

    // Only the thread uses what follows.
    std::shared_ptr<const entry_view> view;
    std::shared_ptr<const dispatcher_list> list;
    instant nextGroupUpdate;
    instant nextAskerCheck;
    std::map<service_id, slot_dispatcher> dispatchers;
    /// Requests whose last answer was "waiting".
    std::set<slot_ticket> waiting;
    finished_tickets requested;
    finished_tickets released;

    std::atomic<bool> isStopping = false;
    std::thread thread;

    private_data(const entry_settings &entrySettings,
                 dispatch_socket &dispatchSocket,
                 dispatch_client &dispatchClient,
                 const dispatcher_directory &dispatcherDirectory,
                 metrics &counters)
        : settings(entrySettings)
        , socket(dispatchSocket)
        , client(dispatchClient)
        , directory(dispatcherDirectory)
        , granted(counters.addGauge("vetchpost_slots_granted", "Requests that hold a slot by this daemon's grant."))
        , queued(counters.addGauge("vetchpost_slots_queued", "Requests that wait for a slot at this daemon."))
        , duplicates(counters.addCounter("vetchpost_slot_duplicates_total", "Slot requests that arrived again or after their release."))
    {
    }

    void run()
    {
        while (!isStopping) {
            receiveDatagrams();
            const auto now = monotonicNow();
            updateOwnGroups(now);
            for (auto &[service, dispatcher] : dispatchers) {
                sendAnswers(advance(dispatcher, now));
            }
            if (now >= nextAskerCheck) {
                nextAskerCheck = now + askerCheckPeriod;
                dropOldAskers(requested, now);
                dropOldAskers(released, now);
            }
            updateGauges();
        }
    }

    void receiveDatagrams()
    {
        auto wait = waiting.empty() ? idleWait : queueWait;
        for (int count = 0; count < datagramsPerRound; ++count) {
            const auto datagram = socket.receive(wait);
            if (!datagram) {
                return;
            }
            wait = duration(0);
            std::visit([&](const auto &body) { handle(body, datagram->first); }, datagram->second);
        }
    }

    void handle(const slot_answer &answer, const endpoint &from)
    {
        client.handleAnswer(answer, from);
    }

    void handle(const slot_release_message &message, const endpoint &from)
    {
        applyReleases(message.releases, from);
    }

    void handle(const slot_request_message &message, const endpoint &from)
    {
        const auto now = monotonicNow();
        const auto &request = message.request;
        applyReleases(message.releases, from);
        if (!addTicket(requested, from, request.ticket, now) || hasTicket(released, from, request.ticket)) {
            duplicates.increment();
            return;
        }
        const auto dispatcher = dispatchers.find(request.service);
        if (dispatcher == dispatchers.end()) {
            sendAnswers({{request.ticket, from, slot_verdict::unknown_model, {}, {}}});
        } else {
            sendAnswers({requestSlot(dispatcher->second, request, from, now)});
        }
    }

    void applyReleases(const std::vector<slot_release> &releases, const endpoint &from)
    {
        const auto now = monotonicNow();
        for (const auto &release : releases) {
            if (!addTicket(released, from, release.ticket, now)) {
                continue;
            }
            waiting.erase({from, release.ticket});
            for (auto &[service, dispatcher] : dispatchers) {
                sendAnswers(releaseSlot(dispatcher, release.ticket, from, release.end, now));
            }
        }
    }

    void sendAnswers(const std::vector<slot_answer> &answers)
    {
        for (const auto &answer : answers) {
            if (answer.verdict == slot_verdict::waiting) {
                waiting.insert({answer.asker, answer.ticket});
            } else {
                waiting.erase({answer.asker, answer.ticket});
            }
            socket.send(answer.asker, answer);
        }
    }

    /// Takes over the groups of the newest view and list.
    void updateOwnGroups(instant now)
    {
        if (now < nextGroupUpdate) {
            return;
        }
        nextGroupUpdate = now + groupUpdatePeriod;
        const auto newestList = directory.current();
        std::shared_ptr<const entry_view> newest;
        {
            const std::lock_guard lock(viewMutex);
            newest = newestView;
        }
        if (!newest || !newest->routes || (newest == view && newestList == list)) {
            return;
        }
        view = newest;
        list = newestList;
        for (const auto &service : view->routes->configuration().services) {
            if (!service.engine) {
                continue;
            }
            const auto groups = ownedGroups(*view, service, *list, *settings.dispatch, now);
            const auto known = dispatchers.find(service.id);
            if (known != dispatchers.end() || !groups.empty()) {
                auto &dispatcher = dispatchers[service.id];
                dispatcher.coldPerSecond = settings.cold ? service.coldPerSecond : 0;
                updateGroups(dispatcher, groups, *service.engine, now);
            }
        }
    }

    void updateGauges() const
    {
        std::size_t count = 0;
        for (const auto &[service, dispatcher] : dispatchers) {
            count += dispatcher.ledger.grants.size();
        }
        granted.set(static_cast<double>(count));
        queued.set(static_cast<double>(waiting.size()));
    }
};

dispatch_service::dispatch_service(const entry_settings &settings,
                                   dispatch_socket &socket,
                                   dispatch_client &client,
                                   const dispatcher_directory &directory,
                                   metrics &counters)
    : d(std::make_unique<private_data>(settings, socket, client, directory, counters))
{
}

dispatch_service::~dispatch_service()
{
    stop();
}

void dispatch_service::start()
{
    if (d->settings.dispatch) {
        d->socket.bind(*d->settings.dispatch);
        d->thread = std::thread([this] { d->run(); });
    }
}

void dispatch_service::stop()
{
    d->isStopping = true;
    if (d->thread.joinable()) {
        d->thread.join();
    }
}

void dispatch_service::updateView(std::shared_ptr<const entry_view> view)
{
    const std::lock_guard lock(d->viewMutex);
    d->newestView = std::move(view);
}

} // namespace vetchpost
