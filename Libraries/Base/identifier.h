// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace vetchpost {

/// A name whose type depends on what it names, so that names of different kinds cannot be mixed up. The empty value means "none".
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const identifier &) const = default;

private:
    std::string m_value;
};

/// A counter whose type depends on what it counts, so that counters of different kinds cannot be mixed up. It starts at 0, which means
/// "never".
template <class Tag>
class sequence
{
public:
    constexpr sequence() = default;
    constexpr explicit sequence(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return m_value;
    }

    constexpr sequence next() const
    {
        return sequence(m_value + 1);
    }

    constexpr auto operator<=>(const sequence &) const = default;

private:
    std::uint64_t m_value = 0;
};

using model_id = identifier<struct model_tag>;
using instance_id = identifier<struct instance_tag>;
using fabric_domain_id = identifier<struct fabric_domain_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using organisation_id = identifier<struct organisation_tag>;
using deployment_id = identifier<struct deployment_tag>;
using group_id = identifier<struct group_tag>;
using daemon_id = identifier<struct daemon_tag>;
using request_id = identifier<struct request_tag>;
using edit_id = identifier<struct edit_tag>;

/// The fencing number of the allotment, which assigns the instances of one data centre to groups. It increases with every coordinator that
/// takes over.
using epoch = sequence<struct epoch_tag>;
/// Increases each time the members, the model or the version of a group change.
using generation = sequence<struct generation_tag>;
/// The number of an accepted configuration.
using revision = sequence<struct revision_tag>;
/// Distinguishes one run of a daemon or engine process from the next.
using incarnation = sequence<struct incarnation_tag>;
/// Distinguishes one run of a replica's process from the next under the same instance id. Incarnations may only be compared for equality:
/// the number can decrease if a clock was set back.
using replica_incarnation = sequence<struct replica_incarnation_tag>;

} // namespace vetchpost

template <class Tag>
struct std::hash<vetchpost::identifier<Tag>>
{
    std::size_t operator()(const vetchpost::identifier<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
