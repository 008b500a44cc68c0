// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/dispatcher_list.h"

#include "Libraries/Base/digest.h"

#include <algorithm>
#include <string>

namespace vetchpost {

std::uint64_t digestOf(const dispatcher_list &list)
{
    if (list.models.empty()) {
        return 0;
    }
    // Line breaks cannot occur in identifiers that were read from one line of text, so different lists have different texts.
    std::string text;
    for (const auto &model : list.models) {
        text += model.service.value() + '\n' + model.model.value() + '\n';
        for (const auto &dispatcher : model.dispatchers) {
            text += dispatcher.daemon.value() + '\n' + dispatcher.address.text() + '\n';
        }
        text += '\n';
    }
    return std::max<std::uint64_t>(1, hashOf(text));
}

const model_dispatchers *findDispatchers(const dispatcher_list &list, const service_id &service, const model_id &model)
{
    const auto found = std::find_if(list.models.begin(), list.models.end(), [&](const model_dispatchers &entry) {
        return entry.service == service && entry.model == model && !entry.dispatchers.empty();
    });
    return found == list.models.end() ? nullptr : &*found;
}

std::size_t dispatcherIndex(const instance_id &head, std::size_t count)
{
    return static_cast<std::size_t>(hashOf(head.value()) % count);
}

} // namespace vetchpost
