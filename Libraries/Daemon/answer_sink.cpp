// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Daemon/answer_sink.h"

#include "Libraries/Base/json.h"

#include <fmt/format.h>

namespace vetchpost {

answer_sink::answer_sink(http_exchange &exchange, const caller_request &request, bool isStreamed)
    : m_exchange(exchange)
    , m_request(request)
    , m_isStreamed(isStreamed)
    , m_eventStart(fmt::format(R"(data: {{"id":{},"object":"chat.completion.chunk","model":{},"choices":[{{"index":0,"delta":{{"content":)",
                               quotedJson(request.id.value()),
                               quotedJson(request.target.id.value())))
{
}

bool answer_sink::deliver(const std::string &text, const std::string &finishReason)
{
    m_text += text;
    m_finishReason = finishReason;
    ++m_chunkCount;
    if (!m_isStreamed) {
        return true;
    }
    if (!m_hasBegun) {
        m_hasBegun = true;
        m_exchange.setHeader("Cache-Control", "no-cache");
        m_exchange.beginStream(200, "text/event-stream");
    }
    m_event.assign(m_eventStart);
    m_event += quotedJson(text);
    m_event += R"(},"finish_reason":)";
    m_event += finishReason.empty() ? std::string("null") : quotedJson(finishReason);
    m_event += "}]}\n\n";
    return m_exchange.write(m_event);
}

bool answer_sink::complete()
{
    if (m_isStreamed) {
        const bool isSent = m_exchange.write("data: [DONE]\n\n");
        if (isSent) {
            m_exchange.completeAnswer();
        }
        return isSent;
    }
    m_exchange.send(200, "application/json", body());
    return true;
}

void answer_sink::fail(const reason &why, std::optional<duration> retryAfter)
{
    if (!m_hasBegun) {
        m_exchange.sendError(why, m_request.id.value(), retryAfter);
        return;
    }
    const auto &answer = errorAnswer(why.kind);
    Json::Value error;
    error["error"]["kind"] = std::string(answer.name);
    error["error"]["message"] = why.text;
    error["error"]["ran"] = std::string(runStateName(answer.ran));
    error["error"]["request_id"] = m_request.id.value();
    m_exchange.write("event: error\ndata: " + toJsonText(error) + "\n\n");
    m_exchange.abort();
}

const std::string &answer_sink::text() const
{
    return m_text;
}

std::string answer_sink::body() const
{
    Json::Value choice;
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = m_text;
    choice["finish_reason"] = m_finishReason;
    Json::Value json;
    json["id"] = m_request.id.value();
    json["object"] = "chat.completion";
    json["model"] = m_request.target.id.value();
    json["choices"] = Json::Value(Json::arrayValue);
    json["choices"].append(choice);
    json["usage"]["completion_tokens"] = Json::UInt64(m_chunkCount);
    return toJsonText(json);
}

bool answer_sink::isStreamed() const
{
    return m_isStreamed;
}

} // namespace vetchpost
