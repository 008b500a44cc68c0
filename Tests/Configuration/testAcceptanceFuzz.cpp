// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/configuration_head.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <deque>
#include <map>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The head's key in a service whose writes may lose their replies and land late.
struct fake_head
{
    std::string value;
    std::uint64_t changed = 0;
    std::deque<std::pair<std::uint64_t, std::string>> late;

    bool swap(std::uint64_t expected, const std::string &text)
    {
        if (expected != changed) {
            return false;
        }
        value = text;
        ++changed;
        return true;
    }

    void landOne()
    {
        if (!late.empty()) {
            swap(late.front().first, late.front().second);
            late.pop_front();
        }
    }
};

enum class edit_outcome { open, accepted, conflicting };

/// An operator's edit on its way: the steps of configuration_service::accept() one at a time.
struct running_edit
{
    proposed_edit edit;
    edit_outcome outcome = edit_outcome::open;
    revision accepted;
};

/// One step of an edit; \a fault decides what becomes of its write.
void stepEdit(running_edit &running, fake_head &service, int fault)
{
    const auto head = configurationHeadFrom(service.value);
    const auto readAt = service.changed;
    switch (standingOf(running.edit, *head)) {
    case edit_standing::accepted:
        running.outcome = edit_outcome::accepted;
        for (const auto &entry : head->history) {
            running.accepted = entry.edit == running.edit.edit ? entry.accepted : running.accepted;
        }
        return;
    case edit_standing::conflicting:
        running.outcome = edit_outcome::conflicting;
        return;
    case edit_standing::writable:
        break;
    }
    const auto next = headAfter(*head, running.edit);
    if (fault == 1) {
        service.late.emplace_back(readAt, toText(next));
    } else if (fault == 2) {
        // The write takes effect, its reply is lost.
        service.swap(readAt, toText(next));
    } else if (fault != 3 && service.swap(readAt, toText(next))) {
        running.outcome = edit_outcome::accepted;
        running.accepted = next.current;
    }
}

} // namespace

TEST_CASE("Racing edits are accepted one after another, and a lost reply is settled truthfully", "[fuzz]")
{
    constexpr int stepsPerCase = 60;
    int steps = 0;
    const auto property = [&steps] {
        const auto plan
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(stepsPerCase, rc::gen::inRange(0, 100000)));
        fake_head service;
        std::vector<running_edit> edits;
        std::uint64_t highest = 0;
        for (const auto choice : plan) {
            ++steps;
            if (choice % 4 == 0) {
                const auto base = configurationHeadFrom(service.value)->current;
                const auto id = fmt::format("edit{}", edits.size());
                edits.push_back({{edit_id(id), base, "operator", "text of " + id, 0}, edit_outcome::open, {}});
            } else if (choice % 4 == 1) {
                service.landOne();
            } else if (!edits.empty()) {
                auto &running = edits[static_cast<std::size_t>(choice / 4) % edits.size()];
                if (running.outcome == edit_outcome::open) {
                    stepEdit(running, service, choice / 400 % 6);
                }
            }
            const auto head = configurationHeadFrom(service.value);
            RC_ASSERT(head->current.value() >= highest);
            highest = head->current.value();
        }
        while (!service.late.empty()) {
            service.landOne();
        }
        const auto head = configurationHeadFrom(service.value);
        std::map<edit_id, int> times;
        for (const auto &entry : head->history) {
            ++times[entry.edit];
        }
        for (const auto &running : edits) {
            const auto expected = running.outcome == edit_outcome::accepted ? 1 : 0;
            if (running.outcome != edit_outcome::open && times[running.edit.edit] != expected) {
                RC_FAIL(fmt::format(
                    "{} was told {} and stands {} times (step {})", running.edit.edit.value(), expected, times[running.edit.edit], steps));
            }
            RC_ASSERT(times[running.edit.edit] <= 1);
        }
        RC_ASSERT(head->history.size() == head->current.value());
    };
    checkProperty("acceptance", fuzzSteps(10000) / stepsPerCase, property);
}
