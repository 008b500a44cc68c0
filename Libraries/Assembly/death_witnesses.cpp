// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Assembly/death_witnesses.h"

#include <algorithm>

namespace vetchpost {

void noteLook(death_witnesses &witnesses, const instance_id &replica, const daemon_id &daemon, const direct_look &look)
{
    witnesses.looks[replica][daemon] = look;
}

void forgetOldLooks(death_witnesses &witnesses, instant now)
{
    for (auto &[replica, looks] : witnesses.looks) {
        std::erase_if(looks, [&](const auto &entry) { return now - entry.second.when > lookLifetime; });
    }
    std::erase_if(witnesses.looks, [](const auto &entry) { return entry.second.empty(); });
}

std::set<instance_id> confirmedDead(const death_witnesses &witnesses, instant now)
{
    std::set<instance_id> dead;
    for (const auto &[replica, looks] : witnesses.looks) {
        int silent = 0;
        bool isAlive = false;
        for (const auto &[daemon, look] : looks) {
            const bool counts = now - look.when <= lookLifetime;
            silent += counts && !look.hasAnswered ? 1 : 0;
            isAlive = isAlive || (counts && look.hasAnswered);
        }
        if (silent >= neededWitnesses && !isAlive) {
            dead.insert(replica);
        }
    }
    return dead;
}

} // namespace vetchpost
