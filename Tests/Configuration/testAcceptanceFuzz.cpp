// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Configuration/configuration_head.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

#include <deque>
#include <map>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The key of the configuration head in a key-value service whose replies may be lost and whose writes may be delayed.
struct fake_key
{
    std::string value;
    std::uint64_t changed = 0;
    std::deque<std::pair<std::uint64_t, std::string>> delayedWrites;

    bool swap(std::uint64_t expected, const std::string &text)
    {
        if (expected != changed) {
            return false;
        }
        value = text;
        ++changed;
        return true;
    }

    void applyDelayedWrite()
    {
        if (!delayedWrites.empty()) {
            swap(delayedWrites.front().first, delayedWrites.front().second);
            delayedWrites.pop_front();
        }
    }
};

enum class edit_outcome { open, accepted, conflicting };

/// An edit that is being processed in the single steps of configuration_service::accept().
struct pending_edit
{
    proposed_edit edit;
    edit_outcome outcome = edit_outcome::open;
    revision accepted;
};

/// Takes one step of an edit. \a fault decides what happens to its write: 1 delays it, 2 loses its reply, 3 loses the write, any other
/// value is no fault.
void stepEdit(pending_edit &pending, fake_key &service, int fault)
{
    const auto head = configurationHeadFrom(service.value);
    const auto readAt = service.changed;
    switch (editStatusOf(pending.edit, *head)) {
    case edit_status::accepted:
        pending.outcome = edit_outcome::accepted;
        for (const auto &entry : head->history) {
            pending.accepted = entry.edit == pending.edit.edit ? entry.accepted : pending.accepted;
        }
        return;
    case edit_status::conflicting:
        pending.outcome = edit_outcome::conflicting;
        return;
    case edit_status::writable:
        break;
    }
    const auto next = headAfter(*head, pending.edit);
    if (fault == 1) {
        service.delayedWrites.emplace_back(readAt, toText(next));
    } else if (fault == 2) {
        // The write takes effect, but its reply is lost.
        service.swap(readAt, toText(next));
    } else if (fault != 3 && service.swap(readAt, toText(next))) {
        pending.outcome = edit_outcome::accepted;
        pending.accepted = next.current;
    }
}

} // namespace

TEST_CASE("Concurrent edits are accepted one after another, and an edit whose reply was lost gets its true outcome", "[fuzz]")
{
    constexpr int stepsPerCase = 60;
    int steps = 0;
    const auto property = [&steps] {
        const auto plan
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(stepsPerCase, rc::gen::inRange(0, 100000)));
        fake_key service;
        std::vector<pending_edit> edits;
        std::uint64_t highest = 0;
        for (const auto choice : plan) {
            ++steps;
            if (choice % 4 == 0) {
                const auto base = configurationHeadFrom(service.value)->current;
                const auto id = fmt::format("edit{}", edits.size());
                edits.push_back({{edit_id(id), base, "operator", "text of " + id, 0}, edit_outcome::open, {}});
            } else if (choice % 4 == 1) {
                service.applyDelayedWrite();
            } else if (!edits.empty()) {
                auto &pending = edits[static_cast<std::size_t>(choice / 4) % edits.size()];
                if (pending.outcome == edit_outcome::open) {
                    stepEdit(pending, service, choice / 400 % 6);
                }
            }
            const auto head = configurationHeadFrom(service.value);
            RC_ASSERT(head->current.value() >= highest);
            highest = head->current.value();
        }
        while (!service.delayedWrites.empty()) {
            service.applyDelayedWrite();
        }
        const auto head = configurationHeadFrom(service.value);
        std::map<edit_id, int> times;
        for (const auto &entry : head->history) {
            ++times[entry.edit];
        }
        for (const auto &pending : edits) {
            const auto expected = pending.outcome == edit_outcome::accepted ? 1 : 0;
            if (pending.outcome != edit_outcome::open && times[pending.edit.edit] != expected) {
                RC_FAIL(fmt::format(
                    "{} was told {} and stands {} times (step {})", pending.edit.edit.value(), expected, times[pending.edit.edit], steps));
            }
            RC_ASSERT(times[pending.edit.edit] <= 1);
        }
        RC_ASSERT(head->history.size() == head->current.value());
    };
    checkProperty("acceptance", fuzzSteps(10000) / stepsPerCase, property);
}
