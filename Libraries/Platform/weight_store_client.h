// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"

#include <memory>
#include <optional>

namespace vetchpost {

/// The load on the weight store.
struct weight_store_state
{
    /// The number of loads, each by one instance, that the store can serve at full rate at the same time.
    int concurrentLoads = 0;
    /// The number of loads in progress.
    int activeLoads = 0;
};

/// Client of the platform's rate-limited store of model weights. It only reads the load on the store: the engines load the weights
/// themselves.
class weight_store_client
{
public:
    explicit weight_store_client(endpoint address);
    ~weight_store_client();
    weight_store_client(const weight_store_client &) = delete;
    weight_store_client &operator=(const weight_store_client &) = delete;

    /// Reads the load on the store. Returns nothing on an error and sets \a lastReason to platform_unavailable.
    std::optional<weight_store_state> state(reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
