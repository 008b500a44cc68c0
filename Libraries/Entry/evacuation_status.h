// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/requests_by_place.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Routing/evacuations.h"
#include "Libraries/Routing/replica_directory.h"
#include "Libraries/Routing/route_table.h"

#include <vector>

namespace vetchpost {

constexpr auto evacuationsPath = "/evacuations";

/// An evacuated data centre as a daemon sees it.
struct evacuation_status
{
    data_centre_id dataCentre;
    /// Calendar milliseconds.
    std::int64_t since = 0;
    /// Requests of this daemon that are still in flight there.
    int requests = 0;
    /// Groups whose head is there.
    int groups = 0;
    /// Replicas that are there; with none the evacuation has no effect.
    int replicas = 0;
};

/// Returns the status of each evacuated data centre. \a routes may be nullptr.
std::vector<evacuation_status> evacuationStatus(const evacuation_set &known,
                                                const replica_directory &directory,
                                                const route_table *routes,
                                                const requests_by_place &requests);
/// Answers an operator's question for the evacuations.
void answerEvacuations(http_exchange &exchange, const evacuation_set &known, const std::vector<evacuation_status> &evacuated);

} // namespace vetchpost
