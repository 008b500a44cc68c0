// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/entry_dialect.h"
#include "Libraries/Entry/entry_view.h"

#include <map>
#include <memory>
#include <mutex>

namespace vetchpost {

/// Whether a replica whose connection broke off has ended.
enum class replica_end_finding {
    /// Its port refuses connections, or a later start of it answers there.
    has_ended,
    /// It answers: the connection, not the replica, was lost.
    is_there,
    /// Nobody answers, which a cut shows as well.
    unknown
};

std::string_view replicaEndFindingName(replica_end_finding finding);

/// Asks replicas whether they still are there when requests to them were lost. Safe to use from several threads.
class replica_end_check
{
public:
    explicit replica_end_check(const entry_dialect &dialect);

    /// Asks the replica, at most so long as a lost request may be held up; all requests that it loses at one moment share one question.
    replica_end_finding ask(const backend &target);

private:
    struct question
    {
        std::mutex mutex;
        std::optional<instant> askedAt;
        replica_end_finding finding = replica_end_finding::unknown;
    };

    replica_end_finding askNow(const backend &target) const;

    const entry_dialect &m_dialect;
    std::mutex m_mutex;
    /// By replica and life.
    std::map<std::pair<instance_id, replica_life>, std::shared_ptr<question>> m_questions;
};

} // namespace vetchpost
