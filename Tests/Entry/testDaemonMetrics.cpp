// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_metrics.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

bool hasLine(const metrics &counters, const std::string &line)
{
    return counters.text().find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("Each update exports the daemon's current status")
{
    metrics counters;
    daemon_metrics exported(counters);
    exported.update({});
    CHECK(hasLine(counters, "vetchpost_configuration_version 0"));
    CHECK(hasLine(counters, "vetchpost_configuration_age_seconds -1"));
    exported.update({7, duration(1500), 48, 9, 30, 12, {}});
    CHECK(hasLine(counters, "vetchpost_configuration_version 7"));
    CHECK(hasLine(counters, "vetchpost_configuration_age_seconds 1.5"));
    CHECK(hasLine(counters, "vetchpost_replicas_known 48"));
    CHECK(hasLine(counters, "vetchpost_daemons_known 9"));
    CHECK(hasLine(counters, "vetchpost_connections_open 30"));
    CHECK(hasLine(counters, "vetchpost_requests_held 12"));
}

TEST_CASE("Connections that were closed unread are counted once, however often the metrics are updated")
{
    metrics counters;
    daemon_metrics exported(counters);
    daemon_status status;
    status.connectionsClosedUnread = 5;
    status.incompleteHeads = 3;
    exported.update(status);
    exported.update(status);
    CHECK(hasLine(counters, "vetchpost_connections_closed_unread_total 5"));
    CHECK(hasLine(counters, "vetchpost_incomplete_heads_total 3"));
}

TEST_CASE("Dropped log lines are counted once by part, however often the metrics are updated")
{
    metrics counters;
    daemon_metrics exported(counters);
    daemon_status status;
    status.droppedLinesByPart = {{"request", 4}, {"store", 0}};
    exported.update(status);
    exported.update(status);
    status.droppedLinesByPart["request"] = 9;
    exported.update(status);
    CHECK(hasLine(counters, R"(vetchpost_log_lines_left_out_total{part="request"} 9)"));
    CHECK(hasLine(counters, R"(vetchpost_log_lines_left_out_total{part="store"} 0)"));
}
