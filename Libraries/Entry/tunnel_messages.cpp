// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/tunnel_messages.h"

#include "Libraries/Base/digest.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace vetchpost {

namespace {

constexpr auto incarnationHeader = "Vetchpost-Incarnation";
constexpr auto serviceHeader = "Vetchpost-Service";
constexpr auto requestHeader = "Vetchpost-Request";
constexpr auto organisationHeader = "Vetchpost-Organisation";
constexpr auto priorityHeader = "Vetchpost-Priority";
constexpr auto patienceHeader = "Vetchpost-Patience-Ms";
constexpr auto timeLeftHeader = "Vetchpost-Time-Left-Ms";
constexpr auto runHeader = "Vetchpost-Run";
constexpr auto nonceHeader = "Vetchpost-Nonce";
constexpr auto digestHeader = "Vetchpost-Digest";
/// No request lasts longer.
constexpr std::uint64_t maxTimeLeft = 3600000;
constexpr std::uint64_t lowestPriority = 9;

struct refusal_answer
{
    std::string_view name;
    int status;
};

constexpr std::array<refusal_answer, static_cast<std::size_t>(tunnel_refusal_kind::count)> refusalAnswers{{{"invalid", 400},
                                                                                                           {"not_authentic", 403},
                                                                                                           {"unknown_replica", 404},
                                                                                                           {"cut_off", 502},
                                                                                                           {"stopping", 503},
                                                                                                           {"full", 503},
                                                                                                           {"replica_refused", 502},
                                                                                                           {"replica_unreachable", 504}}};

std::optional<std::uint64_t> numberIn(const std::vector<http_header> &headers, const char *name, std::uint64_t maximum)
{
    const auto text = headerValue(headers, name);
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    const bool isNumber = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return isNumber && value <= maximum ? std::optional(value) : std::nullopt;
}

/// Returns what the digest covers: all that the daemon acts on.
std::string digestOf(const tunnel_request &request, const endpoint &proxy, const identity_key &key)
{
    const auto &terms = request.terms;
    return keyedDigest(key,
                       {"tunnel",
                        proxy.text(),
                        std::to_string(request.run),
                        std::to_string(request.nonce),
                        request.replica.replica.value(),
                        std::to_string(request.replica.incarnation.value()),
                        request.service.value(),
                        terms.organisation.value(),
                        std::to_string(terms.priority),
                        std::to_string(terms.patience.count()),
                        std::to_string(terms.timeLeft.count())});
}

} // namespace

std::string_view tunnelRefusalName(tunnel_refusal_kind kind)
{
    return refusalAnswers.at(static_cast<std::size_t>(kind)).name;
}

int tunnelRefusalStatus(tunnel_refusal_kind kind)
{
    return refusalAnswers.at(static_cast<std::size_t>(kind)).status;
}

std::vector<http_header> tunnelHeaders(const tunnel_request &request, const endpoint &proxy, const identity_key &key)
{
    const auto &terms = request.terms;
    return {{incarnationHeader, std::to_string(request.replica.incarnation.value())},
            {serviceHeader, request.service.value()},
            {requestHeader, terms.request.value()},
            {organisationHeader, terms.organisation.value()},
            {priorityHeader, std::to_string(terms.priority)},
            {patienceHeader, std::to_string(terms.patience.count())},
            {timeLeftHeader, std::to_string(terms.timeLeft.count())},
            {runHeader, std::to_string(request.run)},
            {nonceHeader, std::to_string(request.nonce)},
            {digestHeader, digestOf(request, proxy, key)}};
}

std::optional<tunnel_request> readTunnelRequest(const instance_id &replica, const std::vector<http_header> &headers)
{
    constexpr auto maxNumber = std::numeric_limits<std::uint64_t>::max();
    const auto incarnation = numberIn(headers, incarnationHeader, maxNumber);
    const auto priority = numberIn(headers, priorityHeader, lowestPriority);
    const auto patience = numberIn(headers, patienceHeader, maxTimeLeft);
    const auto timeLeft = numberIn(headers, timeLeftHeader, maxTimeLeft);
    const auto run = numberIn(headers, runHeader, maxNumber);
    const auto nonce = numberIn(headers, nonceHeader, maxNumber);
    const auto service = headerValue(headers, serviceHeader);
    if (!incarnation || !priority || !patience || !timeLeft || !run || !nonce || service.empty() || replica.isEmpty()) {
        return std::nullopt;
    }
    tunnel_request request;
    request.replica = {replica, replica_incarnation(*incarnation)};
    request.service = service_id(service);
    request.terms.request = request_id(headerValue(headers, requestHeader));
    request.terms.organisation = organisation_id(headerValue(headers, organisationHeader));
    request.terms.priority = static_cast<int>(*priority);
    request.terms.patience = duration(*patience);
    request.terms.timeLeft = duration(*timeLeft);
    request.run = *run;
    request.nonce = *nonce;
    return request;
}

bool isAuthentic(const tunnel_request &request, const endpoint &proxy, const std::vector<http_header> &headers, const identity_key &key)
{
    return isSameSecret(headerValue(headers, digestHeader), digestOf(request, proxy, key));
}

std::optional<tunnel_refusal_kind> readTunnelRefusal(const std::vector<http_header> &headers)
{
    const auto name = headerValue(headers, tunnelRefusalHeader);
    const auto *found
        = std::find_if(refusalAnswers.begin(), refusalAnswers.end(), [&](const refusal_answer &answer) { return answer.name == name; });
    return found == refusalAnswers.end() ? std::nullopt : std::optional(static_cast<tunnel_refusal_kind>(found - refusalAnswers.begin()));
}

} // namespace vetchpost
