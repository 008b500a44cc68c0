// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"
#include "Libraries/Base/error_kind.h"

#include <memory>
#include <optional>

namespace vetchpost {

/// How busy the weight store is.
struct weight_store_state
{
    /// Loads of one instance that it can feed at full rate at the same time.
    int concurrentLoads = 0;
    /// Loads that it feeds at this moment.
    int activeLoads = 0;
};

/// The platform's rate-limited store of model weights. Engines load from it by themselves; only its rate is asked for here.
class weight_store_client
{
public:
    explicit weight_store_client(endpoint address);
    ~weight_store_client();
    weight_store_client(const weight_store_client &) = delete;
    weight_store_client &operator=(const weight_store_client &) = delete;

    /// Errors: platform_unavailable.
    std::optional<weight_store_state> state(reason &lastReason);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
