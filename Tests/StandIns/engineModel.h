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

/// One answer that a stand-in engine generates: the words to stream in order. It stays stored, so that a broken stream can be resumed.
struct generated_answer
{
    std::vector<std::string> words;
    std::uint64_t firstIndex = 0;
    instant startedAt;
    bool isCancelled = false;
};

struct engine_options
{
    bool checksFencing = true;
    duration loadTime{500};
    duration firstTokenDelay{30};
    duration tokenGap{20};
    int maxRunning = 64;
};

/// State and behaviour of a stand-in engine, without its sockets.
class engine_model
{
public:
    engine_model(instance_id instance, const engine_options &options);

    /// Accepts an order; returns false if fencing is checked and the order has an old fencing number.
    bool acceptOrder(const engine_order &order, instant now);
    engine_state state(instant now);
    void setLeaving(bool isLeaving);

    /// Starts an answer. Returns nothing, and sets the reason, if the engine refuses the request without running it.
    std::optional<generated_answer> startAnswer(const Json::Value &call, instant now, std::string &refusalReason);
    /// Returns the latest answer started for a request; nothing if there is none.
    std::optional<generated_answer> findAnswer(const std::string &request);
    void cancel(const std::string &request);
    bool isCancelled(const std::string &request);
    /// Counts the request as no longer running; its answer stays stored.
    void finishAnswer(const std::string &request);
    /// Returns how many times each request has been started at this engine.
    std::map<std::string, int> runs();
    const engine_options &options() const;

private:
    std::mutex m_mutex;
    engine_options m_options;
    engine_state m_state;
    instant m_loadedAt;
    std::map<std::string, generated_answer> m_answers;
    std::map<std::string, int> m_runs;
    int m_running = 0;
};

} // namespace vetchpost::test
