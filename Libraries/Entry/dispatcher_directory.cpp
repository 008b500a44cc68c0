// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Entry/dispatcher_directory.h"

#include "Libraries/Base/event_log.h"

namespace vetchpost {

namespace {

constexpr event_log dispatchLog("dispatch");

std::string daemonNames(const model_dispatchers &model)
{
    std::string text;
    for (const auto &dispatcher : model.dispatchers) {
        text += (text.empty() ? "" : " ") + dispatcher.daemon.value();
    }
    return text;
}

} // namespace

std::shared_ptr<const dispatcher_list> dispatcher_directory::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_list;
}

std::uint64_t dispatcher_directory::digest() const
{
    const std::lock_guard lock(m_mutex);
    return m_digest;
}

bool dispatcher_directory::replace(const dispatcher_list &list)
{
    std::shared_ptr<const dispatcher_list> before;
    {
        const std::lock_guard lock(m_mutex);
        if (*m_list == list) {
            return false;
        }
        before = std::exchange(m_list, std::make_shared<const dispatcher_list>(list));
        m_digest = digestOf(list);
    }
    for (const auto &model : list.models) {
        const auto *known = findDispatchers(*before, model.service, model.model);
        if (known == nullptr || *known != model) {
            dispatchLog.write("dispatchers_named",
                              {{"service", model.service.value()}, {"model", model.model.value()}, {"dispatchers", daemonNames(model)}});
        }
    }
    return true;
}

} // namespace vetchpost
