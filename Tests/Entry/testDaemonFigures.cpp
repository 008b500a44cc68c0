// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/daemon_figures.h"

#include <catch2/catch.hpp>

using namespace vetchpost;

namespace {

bool tells(const metrics &counters, const std::string &line)
{
    return counters.text().find(line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("A daemon's standing is shown as it is at the moment")
{
    metrics counters;
    daemon_figures figures(counters);
    figures.show({});
    CHECK(tells(counters, "vetchpost_configuration_version 0"));
    CHECK(tells(counters, "vetchpost_configuration_age_seconds -1"));
    figures.show({7, duration(1500), 48, 9, 30, 12, {}});
    CHECK(tells(counters, "vetchpost_configuration_version 7"));
    CHECK(tells(counters, "vetchpost_configuration_age_seconds 1.5"));
    CHECK(tells(counters, "vetchpost_replicas_known 48"));
    CHECK(tells(counters, "vetchpost_daemons_known 9"));
    CHECK(tells(counters, "vetchpost_connections_open 30"));
    CHECK(tells(counters, "vetchpost_requests_held 12"));
}

TEST_CASE("Lines that the log left out are counted by part, however often they are shown")
{
    metrics counters;
    daemon_figures figures(counters);
    daemon_standing standing;
    standing.linesLeftOut = {{"request", 4}, {"store", 0}};
    figures.show(standing);
    figures.show(standing);
    standing.linesLeftOut["request"] = 9;
    figures.show(standing);
    CHECK(tells(counters, R"(vetchpost_log_lines_left_out_total{part="request"} 9)"));
    CHECK(tells(counters, R"(vetchpost_log_lines_left_out_total{part="store"} 0)"));
}
