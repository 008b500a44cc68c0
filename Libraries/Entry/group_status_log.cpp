// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/group_status_log.h"

#include "Libraries/Assembly/domain_summary.h"
#include "Libraries/Base/event_log.h"

namespace vetchpost {

namespace {

constexpr event_log assemblyLog("assembly");

} // namespace

void logGroupStatus(const assembly_view &view, const assembly_state &assembly)
{
    assemblyLog.write("domains", {{"service", view.service.value()}, {"what", summariseDomains(assembly, view)}});
    for (const auto &model : groupCounts(assembly, view.engine)) {
        assemblyLog.write("standing",
                          {{"service", view.service.value()},
                           {"model", model.model.value()},
                           {"wanted", model.wanted},
                           {"requests", model.requests},
                           {"serving", model.serving},
                           {"forming", model.forming},
                           {"ending", model.ending},
                           {"usable", assembly.usable},
                           {"free", assembly.idleSince.size()},
                           {"suspected", view.suspects.size()},
                           {"loading", assembly.stagings.size()}});
    }
}

} // namespace vetchpost
