// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/instant.h"
#include "Libraries/Engines/engine_messages.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost::test {

/// One answer that a stand-in engine makes: its words come one after another, and it stays for a while to be taken up.
struct made_answer
{
    std::vector<std::string> words;
    std::uint64_t firstIndex = 0;
    instant begun;
    bool isCancelled = false;
};

struct engine_options
{
    bool checksFencing = true;
    duration loadTime{500};
    duration firstToken{30};
    duration tokenGap{20};
    int mostRunning = 64;
};

/// What a stand-in engine is and does, without its sockets.
class engine_model
{
public:
    engine_model(instance_id instance, const engine_options &options);

    /// False where the order carries an old fencing number.
    bool takeOrder(const engine_order &order, instant now);
    engine_state state(instant now);
    void setLeaving(bool isLeaving);

    /// Begins an answer; nothing, with the reason, where it is refused without running.
    std::optional<made_answer> begin(const Json::Value &call, instant now, std::string &whyNot);
    /// An answer that was begun before.
    std::optional<made_answer> find(const std::string &request);
    void cancel(const std::string &request);
    bool isCancelled(const std::string &request);
    void end(const std::string &request);
    /// How often each request was begun here.
    std::map<std::string, int> runs();
    const engine_options &options() const;

private:
    std::mutex m_mutex;
    engine_options m_options;
    engine_state m_state;
    instant m_loadedAt;
    std::map<std::string, made_answer> m_answers;
    std::map<std::string, int> m_runs;
    int m_running = 0;
};

} // namespace vetchpost::test
