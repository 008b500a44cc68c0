// SPDX-License-Identifier: Apache-2.0
// Asking daemons and dispatchers over loopback datagrams, with the faults that the network and the dispatchers have.
#include "Libraries/Entry/dispatch_client.h"
#include "Libraries/Entry/dispatch_service.h"
#include "Tests/Entry/scriptedDispatcher.h"

#include <catch2/catch.hpp>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

const service_id service("large");
const model_id model("m");
constexpr int slotsPerGroup = 4;

/// A daemon's part in slot dispatch.
struct dispatch_peer
{
    entry_settings settings;
    metrics counters;
    dispatcher_directory directory;
    dispatch_socket socket{counters};
    dispatch_client client{socket, directory, counters};
    dispatch_service dispatch{settings, socket, client, directory, counters};

    dispatch_peer()
    {
        settings.dispatch = freeDatagramPort();
        dispatch.start();
    }

    ~dispatch_peer()
    {
        dispatch.stop();
    }

    dispatch_peer(const dispatch_peer &) = delete;
    dispatch_peer &operator=(const dispatch_peer &) = delete;

    endpoint address() const
    {
        return *settings.dispatch;
    }

    void name(const std::vector<endpoint> &dispatchers)
    {
        model_dispatchers named{service, model, {}};
        for (const auto &address : dispatchers) {
            named.dispatchers.push_back({daemon_id("d" + std::to_string(named.dispatchers.size())), address});
        }
        directory.replace({{named}});
    }

    double value(const std::string &line) const
    {
        const auto text = counters.text();
        const auto found = text.find("\n" + line + " ");
        return found == std::string::npos ? -1 : std::stod(text.substr(found + line.size() + 2));
    }

    double answers(const std::string &answer) const
    {
        return value("vetchpost_slot_requests_total{answer=\"" + answer + "\"}");
    }
};

std::vector<backend> heads(int count)
{
    std::vector<backend> result;
    for (int i = 0; i < count; ++i) {
        backend head;
        head.replica = instance_id("h-" + std::to_string(i));
        head.slots = slotsPerGroup;
        head.incarnation = replica_incarnation(7);
        head.load = std::make_shared<backend_load>();
        result.push_back(head);
    }
    return result;
}

std::shared_ptr<const entry_view> viewOf(const std::vector<backend> &groups)
{
    engine_description engine;
    engine.slots = slotsPerGroup;
    group_model served;
    served.id = model;
    engine.models.push_back(served);
    served_service described;
    described.id = service;
    described.engine = engine;
    served_configuration configuration;
    configuration.services.push_back(described);
    auto view = std::make_shared<entry_view>();
    view->routes = std::make_shared<const route_table>(std::move(configuration));
    view->groups[{service, model}] = groups;
    return view;
}

slot_request requestFor(int expectedTokens = 50)
{
    slot_request request;
    request.service = service;
    request.model = model;
    request.organisation = organisation_id("t1");
    request.promptTokens = 100;
    request.expectedTokens = expectedTokens;
    request.untilLate = duration(250);
    request.timeLeft = duration(3000);
    return request;
}

} // namespace

TEST_CASE("A dispatcher grants each slot of its groups once, and again after the release")
{
    dispatch_peer asker;
    dispatch_peer dispatcher;
    const auto groups = heads(1);
    for (auto *peer : {&asker, &dispatcher}) {
        peer->name({dispatcher.address()});
    }
    dispatcher.dispatch.updateView(viewOf(groups));
    std::this_thread::sleep_for(duration(200));

    // A new dispatcher presumes that others have sent requests before, so that it grants less than all slots at first.
    std::vector<placement> granted;
    auto last = asker.client.requestPlace(requestFor(), groups, -1);
    for (; last.end == placement_end::granted; last = asker.client.requestPlace(requestFor(), groups, -1)) {
        CHECK(last.head == instance_id("h-0"));
        granted.push_back(last);
    }
    CHECK(last.end == placement_end::refused);
    CHECK_FALSE(granted.empty());
    CHECK(granted.size() <= slotsPerGroup);
    std::this_thread::sleep_for(duration(120));
    CHECK(dispatcher.value("vetchpost_slots_granted") == static_cast<double>(granted.size()));
    for (const auto &placed : granted) {
        asker.client.release(*placed.place, slot_end::done);
    }
    std::this_thread::sleep_for(duration(120));
    CHECK(dispatcher.value("vetchpost_slots_granted") == 0);
    CHECK(asker.client.requestPlace(requestFor(), groups, -1).end == placement_end::granted);
}

TEST_CASE("A request waits for its second answer, and withdraws if its client leaves or no answer comes")
{
    dispatch_peer asker;
    const auto groups = heads(1);
    std::atomic<bool> answersTwice = true;
    const scripted_dispatcher dispatcher([&](const slot_request &request) {
        std::vector answers{answerOf(request, slot_verdict::waiting, duration(60))};
        if (answersTwice) {
            // Datagrams may be duplicated.
            answers.push_back(answerOf(request, slot_verdict::waiting, duration(60)));
            answers.push_back(grantOf(request, "h-0"));
            answers.push_back(answerOf(request, slot_verdict::waiting, duration(60)));
        }
        return answers;
    });
    asker.name({dispatcher.address()});
    CHECK(asker.client.requestPlace(requestFor(), groups, -1).end == placement_end::granted);

    answersTwice = false;
    const auto asked = monotonicNow();
    const auto unanswered = asker.client.requestPlace(requestFor(), groups, -1);
    const auto waited = monotonicNow() - asked;
    CHECK(unanswered.end == placement_end::unplaced);
    CHECK(waited >= duration(110));
    CHECK(waited < duration(400));
    CHECK(dispatcher.awaitRelease(dispatcher.requests().back().ticket) == slot_end::done);
}

TEST_CASE("A dispatcher that is killed or frozen delays two requests and is then left alone for a second")
{
    dispatch_peer asker;
    const auto groups = heads(8);
    const scripted_dispatcher alive(
        [&](const slot_request &request) { return std::vector{answerOf(request, slot_verdict::refused, duration(700))}; });
    // Nothing reads from this address: a frozen process looks like that. A closed port, as after a kill, has the same effect.
    const Poco::Net::DatagramSocket frozen(Poco::Net::SocketAddress("127.0.0.1", 0));
    const endpoint silent{"127.0.0.1", GENERATE(true, false) ? frozen.address().port() : freeDatagramPort().port};
    asker.name({silent, alive.address()});

    int slow = 0;
    int refused = 0;
    for (int i = 0; i < 80; ++i) {
        const auto asked = monotonicNow();
        const auto placed = asker.client.requestPlace(requestFor(), groups, -1);
        slow += monotonicNow() - asked >= duration(25) ? 1 : 0;
        refused += placed.end == placement_end::refused ? 1 : 0;
        if (placed.end == placement_end::unplaced) {
            // The groups of the other dispatcher are left to it.
            for (const auto &head : placed.headsOfOthers) {
                CHECK(dispatcherIndex(head, 2) == 1);
            }
            CHECK_FALSE(placed.headsOfOthers.empty());
        }
    }
    CHECK(asker.answers("no_answer") == 2);
    CHECK(asker.answers("not_asked") + 2 + refused == 80);
    CHECK(refused > 10);
    CHECK(slow < 10);
}

// A forged or misdirected answer must not make a daemon send a request to a group that has no slot for it.
TEST_CASE("An answer from another sender than the dispatcher that was asked is ignored")
{
    dispatch_peer asker;
    const auto groups = heads(1);
    metrics counters;
    dispatch_socket forger(counters);
    forger.bind(freeDatagramPort());
    const scripted_dispatcher dispatcher([&](const slot_request &request) {
        forger.send(asker.address(), grantOf(request, "h-forged"));
        std::this_thread::sleep_for(duration(5));
        return std::vector{answerOf(request, slot_verdict::refused, duration(300))};
    });
    asker.name({dispatcher.address()});
    const auto placed = asker.client.requestPlace(requestFor(), groups, -1);
    CHECK(placed.end == placement_end::refused);
    CHECK(placed.retryAfter == duration(300));
}

// The answers of the dispatcher are lost on the way back, so that it has granted slots that nobody uses.
TEST_CASE("A dispatcher that can only be sent to learns that its grants are not used")
{
    dispatch_peer dispatcher;
    const auto groups = heads(1);
    dispatcher.name({dispatcher.address()});
    dispatcher.dispatch.updateView(viewOf(groups));
    std::this_thread::sleep_for(duration(200));
    // The asking daemon reads no answers.
    metrics counters;
    dispatch_socket oneWay(counters);
    oneWay.bind(freeDatagramPort());
    auto request = requestFor();
    request.ticket = 11;
    oneWay.send(dispatcher.address(), slot_request_message{request, {}});
    std::this_thread::sleep_for(duration(120));
    CHECK(dispatcher.value("vetchpost_slots_granted") == 1);

    SECTION("by the release")
    {
        oneWay.send(dispatcher.address(), slot_release_message{{{11, slot_end::done}}});
    }

    SECTION("by the next request, if the release is lost")
    {
        auto next = requestFor();
        next.ticket = 12;
        oneWay.send(dispatcher.address(), slot_request_message{next, {{11, slot_end::done}}});
        oneWay.send(dispatcher.address(), slot_release_message{{{11, slot_end::done}, {12, slot_end::done}}});
    }

    std::this_thread::sleep_for(duration(120));
    CHECK(dispatcher.value("vetchpost_slots_granted") == 0);
}

TEST_CASE("A request that arrives again, or after its release, takes no slot")
{
    dispatch_peer dispatcher;
    dispatcher.name({dispatcher.address()});
    dispatcher.dispatch.updateView(viewOf(heads(1)));
    std::this_thread::sleep_for(duration(200));
    metrics counters;
    dispatch_socket asker(counters);
    asker.bind(freeDatagramPort());
    auto request = requestFor();
    request.ticket = 1;
    asker.send(dispatcher.address(), slot_request_message{request, {}});
    asker.send(dispatcher.address(), slot_request_message{request, {}});
    asker.send(dispatcher.address(), slot_release_message{{{1, slot_end::done}, {2, slot_end::done}}});
    asker.send(dispatcher.address(), slot_request_message{request, {}});
    request.ticket = 2;
    asker.send(dispatcher.address(), slot_request_message{request, {}});
    std::this_thread::sleep_for(duration(150));
    CHECK(dispatcher.value("vetchpost_slots_granted") == 0);
    CHECK(dispatcher.value("vetchpost_slot_duplicates_total") == 3);
}

TEST_CASE("A daemon that is not a dispatcher, or no longer one, says that it does not know the model")
{
    dispatch_peer asker;
    dispatch_peer former;
    const auto groups = heads(3);
    asker.name({former.address()});
    former.dispatch.updateView(viewOf(groups));
    const auto placed = asker.client.requestPlace(requestFor(), groups, -1);
    CHECK(placed.end == placement_end::unplaced);
    CHECK(asker.answers("unknown_model") == 1);
    CHECK(asker.answers("no_answer") == 0);
}

TEST_CASE("Without a list, with an empty one, and without an untried head nobody is asked")
{
    dispatch_peer asker;
    const scripted_dispatcher dispatcher([](const slot_request &request) { return std::vector{grantOf(request, "h-0")}; });
    CHECK(asker.client.requestPlace(requestFor(), heads(1), -1).end == placement_end::unplaced);
    asker.directory.replace({});
    CHECK(asker.client.requestPlace(requestFor(), heads(1), -1).end == placement_end::unplaced);
    asker.name({dispatcher.address()});
    auto tried = requestFor();
    tried.excluded = {instance_id("h-0")};
    CHECK(asker.client.requestPlace(tried, heads(1), -1).end == placement_end::unplaced);
    CHECK(dispatcher.requests().empty());
    CHECK(asker.answers("not_asked") == 3);
}

TEST_CASE("Datagrams of another version and bytes without meaning are counted and change nothing")
{
    dispatch_peer dispatcher;
    Poco::Net::DatagramSocket sender(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Poco::Net::SocketAddress to(dispatcher.address().host, dispatcher.address().port);
    const std::vector<std::string> datagrams{R"({"v":2,"k":"free"})", "{", std::string(1500, 'x'), std::string(1, '\0')};
    for (const auto &bytes : datagrams) {
        sender.sendTo(bytes.data(), static_cast<int>(bytes.size()), to);
    }
    std::this_thread::sleep_for(duration(150));
    CHECK(dispatcher.value("vetchpost_slot_datagrams_unreadable_total") == 4);
}

TEST_CASE("Each group has exactly one owner among the dispatchers")
{
    const auto view = viewOf(heads(40));
    const std::vector<endpoint> addresses{{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
    model_dispatchers named{service, model, {}};
    for (const auto &address : addresses) {
        named.dispatchers.push_back({daemon_id(address.host), address});
    }
    std::size_t owned = 0;
    for (const auto &address : addresses) {
        const auto groups = ownedGroups(*view, view->routes->configuration().services.front(), {{named}}, address, monotonicNow());
        CHECK_FALSE(groups.empty());
        owned += groups.size();
    }
    CHECK(owned == 40);
    CHECK(ownedGroups(*view, view->routes->configuration().services.front(), {{named}}, {"10.0.0.4", 1}, monotonicNow()).empty());
}

// A dispatcher that does not know that a group is cold would send it as many requests as it has slots.
TEST_CASE("A dispatcher is told how much longer its groups are cold")
{
    auto groups = heads(2);
    groups[0].coldUntil = instant(duration(5000));
    const auto view = viewOf(groups);
    const endpoint address{"10.0.0.1", 1};
    const dispatcher_list list{{{service, model, {{daemon_id("d"), address}}}}};
    const auto owned = ownedGroups(*view, view->routes->configuration().services.front(), list, address, instant(duration(4200)));
    REQUIRE(owned.size() == 2);
    CHECK(owned[0].coldLeft == duration(800));
    CHECK(owned[1].coldLeft == duration());
}
