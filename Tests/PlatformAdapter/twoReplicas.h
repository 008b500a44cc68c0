// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Tests/PlatformAdapter/relayFixture.h"

namespace vetchpost::test {

/// A daemon in front of two replicas of each service that answer by the same script.
class two_replicas
{
public:
    explicit two_replicas(const scripted_replica::script &script, bool areConcurrent = true)
        : m_one(script, areConcurrent)
        , m_two(script, areConcurrent)
    {
        m_fixture.addPlainReplica("p-1", m_one);
        m_fixture.addPlainReplica("p-2", m_two);
        m_fixture.addGroupHead("h-1", m_one);
        m_fixture.addGroupHead("h-2", m_two);
        m_fixture.start();
    }

    client_answer sendRequest(const std::string &path) const
    {
        return m_fixture.sendRequest(path);
    }

    /// The number of requests that have reached a replica.
    std::size_t received() const
    {
        return m_one.requests().size() + m_two.requests().size();
    }

private:
    scripted_replica m_one;
    scripted_replica m_two;
    relay_fixture m_fixture;
};

} // namespace vetchpost::test
