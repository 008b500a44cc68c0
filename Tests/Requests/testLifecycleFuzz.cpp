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

/// What an engine or the network does to one connection.
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

/// The engines' truth about one request.
struct engine_truth
{
    int runs = 0;
    bool canResume = false;
};

/// What the caller was told in the end.
struct told_answer
{
    std::string text;
    bool isWhole = false;
    error_kind kind = error_kind::internal;
};

std::string wordAt(std::uint64_t index)
{
    return fmt::format("w{} ", index);
}

std::string wholeAnswer()
{
    std::string text;
    for (std::uint64_t i = 0; i < answerLength; ++i) {
        text += wordAt(i);
    }
    return text;
}

/// The lines that one connection brings, under one fault.
std::vector<answer_piece> linesUnder(connection_fault fault, const answer_progress &progress, int where)
{
    std::vector<answer_piece> lines;
    const auto cut = progress.nextIndex + static_cast<std::uint64_t>(where) % answerLength;
    for (auto index = progress.nextIndex; index < answerLength; ++index) {
        answer_piece piece{
            progress.request, progress.group, progress.expected, index, wordAt(index), index + 1 == answerLength ? "stop" : "", false};
        if (index == cut && fault == connection_fault::breaks_off) {
            return lines;
        }
        if (index == cut && fault == connection_fault::foreign_id) {
            piece.request = request_id("another");
            piece.text = "another client's figures";
        }
        if (index == cut && fault == connection_fault::foreign_generation) {
            piece.sender = generation(99);
            piece.text = "another group's";
        }
        if (index == cut && fault == connection_fault::skips) {
            continue;
        }
        lines.push_back(piece);
        if (index == cut && fault == connection_fault::duplicates) {
            lines.push_back(piece);
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

/// One request through tries, resumptions and continuations, by the very functions that the daemon uses.
class lifecycle_run
{
public:
    lifecycle_run(bool isRepeatable, const std::vector<int> &faults)
        : m_faults(faults)
    {
        m_progress.isRepeatable = isRepeatable;
        m_progress.isResumable = true;
        m_progress.deadline = instant(duration(100000));
        m_answer.request = request_id("r1");
        m_answer.group = group_id("g1");
        m_answer.expected = generation(7);
    }

    told_answer run()
    {
        ++m_progress.tries;
        bool isResuming = false;
        for (;;) {
            m_now += duration(1000);
            const auto failure = connect(isResuming);
            if (!failure) {
                m_told.isWhole = true;
                return m_told;
            }
            const auto next = afterFailure(m_progress, *failure, true, m_now);
            if (next.step == recovery_step::give_up) {
                m_told.kind = next.kind;
                return m_told;
            }
            isResuming = next.step == recovery_step::resume;
            m_progress.tries += isResuming ? 0 : 1;
        }
    }

    const engine_truth &truth() const
    {
        return m_truth;
    }

    int faultsUsed() const
    {
        return static_cast<int>(m_next);
    }

private:
    /// One connection; nothing where the answer came whole.
    std::optional<try_failure> connect(bool isResuming)
    {
        const int choice = m_next < m_faults.size() ? m_faults[m_next++] : 0;
        const auto fault = static_cast<connection_fault>(choice % static_cast<int>(connection_fault::count));
        if (fault == connection_fault::cannot_connect) {
            return try_failure::not_sent;
        }
        if (isResuming && !m_truth.canResume) {
            return try_failure::failed;
        }
        if (fault == connection_fault::refused && !isResuming) {
            return try_failure::refused;
        }
        m_truth.runs += isResuming ? 0 : 1;
        m_truth.canResume = choice % 3 != 0;
        if (fault == connection_fault::no_answer) {
            return try_failure::no_answer;
        }
        return follow(linesUnder(fault, m_answer, choice));
    }

    std::optional<try_failure> follow(const std::vector<answer_piece> &lines)
    {
        for (const auto &line : lines) {
            switch (takePiece(m_answer, line)) {
            case piece_verdict::deliver:
                m_told.text += line.text;
                m_progress.delivered = m_answer.nextIndex;
                break;
            case piece_verdict::complete:
                return std::nullopt;
            case piece_verdict::duplicate:
                break;
            case piece_verdict::foreign:
            case piece_verdict::gap:
                return try_failure::foreign;
            }
        }
        return try_failure::broke_off;
    }

    std::vector<int> m_faults;
    std::size_t m_next = 0;
    request_progress m_progress;
    answer_progress m_answer;
    engine_truth m_truth;
    told_answer m_told;
    instant m_now;
};

} // namespace

TEST_CASE("A caller gets its own whole answer or a truthful refusal, whatever the connections do", "[fuzz]")
{
    int steps = 0;
    const auto property = [&steps] {
        const auto isRepeatable = *rc::gen::arbitrary<bool>();
        const auto faults
            = *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<int>>(faultsPerCase, rc::gen::inRange(0, 66)));
        lifecycle_run run(isRepeatable, faults);
        const auto told = run.run();
        steps += run.faultsUsed();
        const auto at = " (step " + std::to_string(steps) + ")";
        if (wholeAnswer().rfind(told.text, 0) != 0) {
            RC_FAIL("the caller saw what is no part of its answer: " + told.text + at);
        }
        if (told.isWhole && told.text != wholeAnswer()) {
            RC_FAIL("an answer was called whole although it is not" + at);
        }
        if (!told.isWhole && errorAnswer(told.kind).ran == run_state::not_run && run.truth().runs > 0) {
            RC_FAIL("a request that ran was refused as not run" + at);
        }
        if (!isRepeatable && run.truth().runs > 1) {
            RC_FAIL("a request that may run once ran twice" + at);
        }
    };
    checkProperty("lifecycle", fuzzSteps(casesInCi * faultsPerCase) / faultsPerCase, property);
    WARN("steps: " << steps);
}

TEST_CASE("A stream that breaks often but comes on is taken up every time")
{
    request_progress progress;
    progress.isRepeatable = false;
    progress.isResumable = true;
    progress.tries = 1;
    progress.deadline = instant(duration(100000));
    for (int piece = 1; piece < 20; ++piece) {
        ++progress.delivered;
        CHECK(afterFailure(progress, try_failure::broke_off, false, instant()).step == recovery_step::resume);
    }
    CHECK(afterFailure(progress, try_failure::broke_off, false, instant()).step == recovery_step::resume);
    // Two in a row that bring nothing are enough.
    CHECK(afterFailure(progress, try_failure::broke_off, false, instant()).step == recovery_step::give_up);
}

TEST_CASE("A request that has run its deadline out is refused as not run only if no try was sent")
{
    request_progress progress;
    progress.deadline = instant(duration(1000));
    CHECK(afterFailure(progress, try_failure::not_sent, true, instant(duration(2000))).kind == error_kind::queue_deadline);
    CHECK(afterFailure(progress, try_failure::no_answer, true, instant(duration(2000))).kind == error_kind::deadline_exceeded);
    CHECK(afterFailure(progress, try_failure::refused, true, instant(duration(2000))).kind == error_kind::deadline_exceeded);
}
