// SPDX-License-Identifier: Apache-2.0
#include "Tests/PlatformAdapter/relayFixture.h"

#include <deque>
#include <mutex>

using namespace vetchpost;
using namespace vetchpost::test;

namespace {

/// The rate limit in requests per second.
constexpr double announcedLimit = 1;
/// The most requests allowed in any window of four seconds: one and a half times what the limit allows in it, and five more.
constexpr int mostInWindow = 11;
constexpr duration window(4000);
/// Only requests that arrive at least this long after the first one are counted.
constexpr duration settlingTime(3000);
constexpr duration testTime(8000);
constexpr duration betweenRequests(50);

std::string streamWith(const std::string &request, const std::string &headers)
{
    auto head = streamHead(request, "s");
    head.insert(head.size() - 2, headers);
    return head + chunk(event(1)) + "0\r\n\r\n";
}

/// Announces a rate limit and records the arrival times of its requests.
class limited_replica
{
public:
    std::string answer(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = monotonicNow();
        m_firstAt = m_firstAt.value_or(now);
        if (now - *m_firstAt >= settlingTime) {
            m_arrivals.push_back(now);
        }
        return streamWith(request, fmt::format("Server-Limit: {}\r\n", announcedLimit));
    }

    /// The largest number of counted requests in any window.
    int mostInAnyWindow() const
    {
        const std::lock_guard lock(m_mutex);
        int most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            most = std::max(most,
                            static_cast<int>(std::count_if(first, m_arrivals.end(), [&](instant at) { return at - *first < window; })));
        }
        return most;
    }

private:
    mutable std::mutex m_mutex;
    std::optional<instant> m_firstAt;
    std::deque<instant> m_arrivals;
};

} // namespace

TEST_CASE("A replica that has announced a rate limit gets no more requests than that, and all other requests are served elsewhere")
{
    limited_replica limited;
    const scripted_replica one([&](const std::string &request) { return limited.answer(request); });
    const scripted_replica two([](const std::string &request) { return streamWith(request, {}); });
    relay_fixture fixture;
    fixture.addGroupHead("h-1", one);
    fixture.addGroupHead("h-2", two);
    fixture.start();
    const auto end = monotonicNow() + testTime;
    for (int number = 0; monotonicNow() < end; ++number) {
        CHECK(fixture.sendRequest("/stream/", "good", "a" + std::to_string(number)).status == 200);
        std::this_thread::sleep_for(betweenRequests);
    }
    CHECK(limited.mostInAnyWindow() <= mostInWindow);
}
