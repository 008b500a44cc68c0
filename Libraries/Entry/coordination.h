// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Assembly/coordination_term.h"
#include "Libraries/Settings/entry_settings.h"

#include <memory>
#include <optional>
#include <string>

namespace vetchpost {

/// This daemon's terms as coordinator: a lease of the key-value service, and the key that is bound to it. One thread makes the calls that
/// change the term; any may ask for it.
class coordination
{
public:
    coordination(const entry_settings &settings, key_value_service &keyValue);
    ~coordination();
    coordination(const coordination &) = delete;
    coordination &operator=(const coordination &) = delete;

    /// Returns the term, also one that has expired; nothing if there is none, or it has been ended.
    std::optional<coordination_term> term() const;
    /// Whether a term is held for at least \a time. A term does not outlast its era, since the service may have lost its lease or key.
    bool isHeld(duration time, instant now) const;
    /// Whether the term whose key was created at \a created is held for at least \a time.
    bool isHeld(store_revision created, duration time, instant now) const;
    /// Whether the era of a term is the present one.
    bool isOfPresentEra(const coordination_term &term) const;
    /// Whether the lease has not been renewed for half of its time.
    bool isRenewalLate(instant now) const;
    /// Whether what the key-value service holds has settled, if it has recently come back from an older copy.
    bool hasServiceSettled(instant now) const;

    /// Records the era that the key-value service names now.
    void recordEra(instant now);
    /// Begins a term if there is no coordinator. Returns the text of the coordinator's key if there is one; nothing otherwise, and on a
    /// failure.
    std::optional<std::string> tryToBegin();
    /// Renews the lease when it is due. Returns false if it has expired.
    bool renewIfDue(instant now);
    /// Forgets the term. Returns what it was.
    std::optional<coordination_term> forget();
    /// Ends the lease of a term, so that another daemon need not wait for it to expire. May be called by any thread.
    void endLease(const coordination_term &term) const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

/// An order to a replica that has not been answered after this time counts as unanswered.
constexpr duration orderTimeout(400);

} // namespace vetchpost
