// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Requests/answer_check.h"
#include "Libraries/Requests/recovery.h"
#include "Tests/Fakes/fuzz.h"

#include <fmt/format.h>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

constexpr std::uint64_t answerLength = 6;
constexpr int faultsPerCase = 24;
constexpr int casesInCi = 6000;

/// A fault of an engine or the network on one connection.
enum class connection_fault {
    none,
    cannot_connect,
    refused,
    no_answer,
    breaks_off,
    foreign_id,
    foreign_generation,
    duplicates,
    skips,
    no_end_marker,
    surplus,
    count
};

/// The actual state of one request at the engines.
struct engine_state
{
    int runs = 0;
    bool canResume = false;
};

/// What the client received.
struct received_answer
{
    std::string text;
    bool isComplete = false;
    error_kind kind = error_kind::internal;
};

std::string wordAt(std::uint64_t index)
{
    return fmt::format("w{} ", index);
}

std::string completeAnswer()
{
    std::string text;
    for (std::uint64_t i = 0; i < answerLength; ++i) {
        text += wordAt(i);
    }
    return text;
}

/// Returns the lines that one connection delivers under one fault.
std::vector<answer_chunk> linesWithFault(connection_fault fault, const answer_progress &progress, int cutPosition)
{
    std::vector<answer_chunk> lines;
    const auto cut = progress.nextIndex + static_cast<std::uint64_t>(cutPosition) % answerLength;
    for (auto index = progress.nextIndex; index < answerLength; ++index) {
        answer_chunk chunk{
            progress.request, progress.group, progress.expected, index, wordAt(index), index + 1 == answerLength ? "stop" : "", false};
        if (index == cut && fault == connection_fault::breaks_off) {
            return lines;
        }
        if (index == cut && fault == connection_fault::foreign_id) {
            chunk.request = request_id("another");
            chunk.text = "another client's figures";
        }
        if (index == cut && fault == connection_fault::foreign_generation) {
            chunk.sender = generation(99);
            chunk.text = "another group's";
        }
        if (index == cut && fault == connection_fault::skips) {
            continue;
        }
        lines.push_back(chunk);
        if (index == cut && fault == connection_fault::duplicates) {
            lines.push_back(chunk);
        }
    }
    if (fault != connection_fault::no_end_marker) {
        lines.push_back({{}, {}, {}, 0, {}, {}, true});
    }
    if (fault == connection_fault::surplus) {
        lines.push_back({request_id("another"), {}, {}, 0, "surplus", {}, false});
    }
    return lines;
}

/// Runs one request through attempts, resumptions and continuations, with the same functions that the daemon uses.
class request_simulation
{
public:
    request_simulation(bool isRepeatable, const std::vector<int> &faults)
        : m_faults(faults)
    {
        m_progress.isRepeatable = isRepeatable;
        m_progress.isResumable = true;
        m_progress.deadline = instant(duration(100000));
        m_answer.request = request_id("r1");
        m_answer.group = group_id("g1");
        m_answer.expected = generation(7);
    }

    received_answer run()
    {
        ++m_progress.attempts;
        bool isResuming = false;
        for (;;) {
            m_now += duration(1000);
            const auto failure = connect(isResuming);
            if (!failure) {
                m_received.isComplete = true;
                return m_received;
            }
            const auto next = planRecovery(m_progress, *failure, true, m_now);
            if (next.step == recovery_step::give_up) {
                m_received.kind = next.kind;
                return m_received;
            }
            isResuming = next.step == recovery_step::resume;
            m_progress.attempts += isResuming ? 0 : 1;
        }
    }

    const engine_state &engineState() const
    {
        return m_engineState;
    }

    int faultsUsed() const
    {
        return static_cast<int>(m_next);
    }

private:
    /// Simulates one connection. Returns nothing if the answer was completed.
    std::optional<attempt_failure> connect(bool isResuming)
    {
        const int choice = m_next < m_faults.size() ? m_faults[m_next++] : 0;
        const auto fault = static_cast<connection_fault>(choice % static_cast<int>(connection_fault::count));
        if (fault == connection_fault::cannot_connect) {
            return attempt_failure::not_sent;
        }
        if (isResuming && !m_engineState.canResume) {
            return attempt_failure::failed;
        }
        if (fault == connection_fault::refused && !isResuming) {
            return attempt_failure::refused;
        }
        m_engineState.runs += isResuming ? 0 : 1;
        m_engineState.canResume = choice % 3 != 0;
        if (fault == connection_fault::no_answer) {
            return attempt_failure::no_answer;
        }
        return readLines(linesWithFault(fault, m_answer, choice));
    }

    std::optional<attempt_failure> readLines(const std::vector<answer_chunk> &lines)
    {
        for (const auto &line : lines) {
            switch (checkChunk(m_answer, line)) {
            case chunk_verdict::deliver:
                m_received.text += line.text;
                m_progress.delivered = m_answer.nextIndex;
                break;
            case chunk_verdict::complete:
                return std::nullopt;
            case chunk_verdict::duplicate:
                break;
            case chunk_verdict::foreign:
            case chunk_verdict::gap:
                return attempt_failure::foreign;
            }
        }
        return attempt_failure::broke_off;
    }

    std::vector<int> m_faults;
    std::size_t m_next = 0;
    request_progress m_progress;
    answer_progress m_answer;
    engine_state m_engineState;
    received_answer m_received;
    instant m_now;
};

} // namespace

TEST_CASE("A client gets its own complete answer or an accurate error, whatever faults the connections have", "[fuzz]")
{
    int steps = 0;
    const auto property = [&steps] {
        const auto isRepeatable = *rc::gen::arbitrary<bool>();
        const auto faults
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(faultsPerCase, rc::gen::inRange(0, 66)));
        request_simulation run(isRepeatable, faults);
        const auto received = run.run();
        steps += run.faultsUsed();
        const auto at = " (step " + std::to_string(steps) + ")";
        if (completeAnswer().rfind(received.text, 0) != 0) {
            RC_FAIL("the caller saw what is no part of its answer: " + received.text + at);
        }
        if (received.isComplete && received.text != completeAnswer()) {
            RC_FAIL("an answer was called whole although it is not" + at);
        }
        if (!received.isComplete && errorAnswer(received.kind).ran == run_state::not_run && run.engineState().runs > 0) {
            RC_FAIL("a request that ran was refused as not run" + at);
        }
        if (!isRepeatable && run.engineState().runs > 1) {
            RC_FAIL("a request that may run once ran twice" + at);
        }
    };
    checkProperty("lifecycle", fuzzSteps(casesInCi * faultsPerCase) / faultsPerCase, property);
    WARN("steps: " << steps);
}

TEST_CASE("A stream that breaks often but makes progress is resumed every time")
{
    request_progress progress;
    progress.isRepeatable = false;
    progress.isResumable = true;
    progress.attempts = 1;
    progress.deadline = instant(duration(100000));
    for (int chunk = 1; chunk < 20; ++chunk) {
        ++progress.delivered;
        CHECK(planRecovery(progress, attempt_failure::broke_off, false, instant()).step == recovery_step::resume);
    }
    CHECK(planRecovery(progress, attempt_failure::broke_off, false, instant()).step == recovery_step::resume);
    // Two consecutive resumptions without a token are the maximum.
    CHECK(planRecovery(progress, attempt_failure::broke_off, false, instant()).step == recovery_step::give_up);
}

TEST_CASE("A request whose deadline has passed is refused as not run only if no attempt was sent")
{
    request_progress progress;
    progress.deadline = instant(duration(1000));
    CHECK(planRecovery(progress, attempt_failure::not_sent, true, instant(duration(2000))).kind == error_kind::queue_deadline);
    CHECK(planRecovery(progress, attempt_failure::no_answer, true, instant(duration(2000))).kind == error_kind::deadline_exceeded);
    CHECK(planRecovery(progress, attempt_failure::refused, true, instant(duration(2000))).kind == error_kind::deadline_exceeded);
}
