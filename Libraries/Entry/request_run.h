// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Entry/event_splitter.h"
#include "Libraries/Entry/relay_context.h"
#include "Libraries/Entry/request_outcome.h"
#include "Libraries/Entry/try_end.h"
#include "Libraries/Http/http_server.h"
#include "Libraries/Http/http_upstream.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace vetchpost {

/// One request of one client, on the thread of its connection. Its parts stand in request_run, request_answer and request_finish.
class request_run
{
public:
    request_run(relay_context &context, http_exchange &exchange);
    request_run(const request_run &) = delete;
    request_run &operator=(const request_run &) = delete;

    void serve();

private:
    struct whole_answer
    {
        upstream_head head;
        std::string body;
    };

    bool readRequest();
    bool findRoute();
    bool checkKey();
    bool mayKnowPlaces() const;
    void tryReplicas();
    try_end tryUntilDone();
    bool mayTryAnother(try_end end);
    bool takeRepeatElsewhere();
    void finish(try_end end);
    void refuse(error_kind kind, const std::string &text, std::optional<duration> comeBackAfter = std::nullopt);
    void refuse(error_kind kind, const std::string &text, refusal_scope reach);
    void refuseForWantOfPlace(error_kind kind, const std::string &text, refusal_scope reach);

    void tellAnswered(try_end end);
    bool tellEnd(request_outcome outcome);
    void tellTry(const backend &target, try_end end) const;

    organisation_id organisation() const;
    const std::optional<request_identity> &identity();
    void noteLoss(const backend &target);
    void noteAnswered();
    std::optional<duration> refusedFor();
    bool mustWithdraw();
    std::optional<duration> firstEvent() const;
    duration held() const;

    std::optional<backend> choose();
    bool hasOpenPlace(duration time) const;
    try_end tryOn(const backend &target);
    try_end runOn(const backend &target);
    http_call callTo(const backend &target) const;
    try_end awaitHead(http_upstream &upstream, const backend &target);
    try_end passAnswer(http_upstream &upstream, const backend &target);
    try_end passWhole(http_upstream &upstream, const upstream_head &head);
    try_end passEvents(http_upstream &upstream, const upstream_head &head, const backend &target);
    bool passPiece(const std::string &piece, const upstream_head &head);
    void beginStream(const upstream_head &head);
    bool sendWhole(const whole_answer &answer);
    void noteSent();

    void noteProgress(const backend &target);
    void noteTrouble(const backend &target, try_end end) const;
    bool isStandingStill(const backend &target) const;
    bool isDoubted(const backend &target) const;
    instant firstAnswerPatience() const;
    duration timeLeft() const;
    bool isLate() const;
    bool isStream() const;

    relay_context &m_context;
    http_exchange &m_exchange;
    instant m_arrival;
    instant m_deadline;
    /// By the client, before it sent this request.
    duration m_waitedBefore{};
    std::shared_ptr<const entry_view> m_view;
    std::vector<http_header> m_headers;
    client_request_head m_head;
    std::string m_body;
    /// Worked out when it is first asked for.
    std::optional<request_identity> m_identity;
    const route *m_route = nullptr;
    const served_organisation *m_organisation = nullptr;
    const served_service *m_service = nullptr;
    std::vector<instance_id> m_tried;
    /// Of the places that were left when the last one was chosen, or none was.
    blocked_backends m_closed;
    int m_attempts = 0;
    int m_unreachable = 0;
    /// A repeat was taken out of the budget for the next try.
    bool m_hasRepeat = false;
    /// Some replica may have run it.
    bool m_mayHaveRun = false;
    /// The client has an answer's head.
    bool m_hasBegun = false;
    /// ... with this status.
    int m_status = 0;
    instant m_tryStart;
    /// Requests that this daemon had at the place when the try began.
    int m_othersThere = 0;
    /// What became of the replica that the last try was lost with.
    std::optional<replica_end_finding> m_replicaEnd;
    /// Something has come in this try.
    bool m_hasProgress = false;
    /// When the client was first and last sent a part of its answer.
    std::optional<instant> m_firstSent;
    std::optional<instant> m_lastSent;
    duration m_longestPause{};
    event_splitter m_events;
    std::optional<whole_answer> m_failure;
    std::string m_lastWhy;
    /// Why no other replica was tried after the last one.
    std::string m_noRepeatWhy;
};

} // namespace vetchpost
