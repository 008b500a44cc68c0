// SPDX-License-Identifier: Apache-2.0
#include "Tests/StandIns/engineModel.h"

#include "Libraries/Base/digest.h"

#include <fmt/format.h>

namespace vetchpost::test {

namespace {

constexpr std::uint64_t defaultTokens = 24;

/// Generates the words of an answer from the prompt alone, so that a resumed answer can be compared with an undisturbed one.
std::vector<std::string> generateWords(const Json::Value &call)
{
    std::string prompt;
    for (const auto &message : jsonArray(call, "messages")) {
        prompt += jsonString(message, "content");
    }
    const auto asked = jsonNumber(call, "max_tokens");
    const auto count = asked == 0 ? defaultTokens : asked;
    std::vector<std::string> words;
    for (std::uint64_t i = 0; i < count; ++i) {
        words.push_back(fmt::format("{}{:04x}", i == 0 ? "" : " ", hashOf(prompt, i) & 0xffffU));
    }
    return words;
}

} // namespace

engine_model::engine_model(instance_id instance, const engine_options &options)
    : m_options(options)
{
    m_state.instance = std::move(instance);
    m_state.run = incarnation(static_cast<std::uint64_t>(calendarMilliseconds()));
}

bool engine_model::acceptOrder(const engine_order &order, instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_options.checksFencing && order.ordered < m_state.confirmed) {
        return false;
    }
    const bool hasWeights = m_state.phase != engine_phase::idle && m_state.choice == order.choice && m_state.rank == order.rank;
    m_state.group = order.group;
    m_state.confirmed = order.ordered;
    if (!order.group.isEmpty() && !hasWeights) {
        m_state.rank = order.rank;
        m_state.choice = order.choice;
        m_state.phase = engine_phase::loading;
        m_loadedAt = now + m_options.loadTime;
    }
    return true;
}

engine_state engine_model::state(instant now)
{
    const std::lock_guard lock(m_mutex);
    if (m_state.phase == engine_phase::loading && now >= m_loadedAt) {
        m_state.phase = engine_phase::ready;
    }
    m_state.load.running = m_running;
    return m_state;
}

void engine_model::setLeaving(bool isLeaving)
{
    const std::lock_guard lock(m_mutex);
    m_state.isLeaving = isLeaving;
}

std::optional<generated_answer> engine_model::startAnswer(const Json::Value &call, instant now, std::string &refusalReason)
{
    const auto present = state(now);
    const std::lock_guard lock(m_mutex);
    const bool isExpected = present.group.value() == jsonString(call, "group")
        && present.confirmed.value() == jsonNumber(call, "generation") && present.phase == engine_phase::ready;
    if (!isExpected || m_running >= m_options.maxRunning) {
        refusalReason = isExpected ? "too many requests" : "another group or generation";
        return std::nullopt;
    }
    const auto request = jsonString(call, "request_id");
    ++m_running;
    ++m_runs[request];
    generated_answer answer;
    answer.words = generateWords(call);
    answer.firstIndex = jsonNumber(call, "first_index");
    answer.startedAt = now;
    m_answers[request] = answer;
    return answer;
}

std::optional<generated_answer> engine_model::findAnswer(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_answers.find(request);
    return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

void engine_model::cancel(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_answers.find(request); found != m_answers.end()) {
        found->second.isCancelled = true;
    }
}

bool engine_model::isCancelled(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_answers.find(request);
    return found != m_answers.end() && found->second.isCancelled;
}

void engine_model::finishAnswer(const std::string & /*request*/)
{
    const std::lock_guard lock(m_mutex);
    --m_running;
}

std::map<std::string, int> engine_model::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

const engine_options &engine_model::options() const
{
    return m_options;
}

} // namespace vetchpost::test
