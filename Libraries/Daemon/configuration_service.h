// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Platform/key_value_client.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost {

/// The outcome of an edit.
struct edit_result
{
    bool isAccepted = false;
    revision accepted;
    reason why;
    /// What is wrong with the text, for invalid_configuration.
    std::vector<yaml_problem> problems;
    /// The edits that were accepted meanwhile, for edit_conflict.
    std::vector<accepted_edit> others;
};

/// Accepts edits, and learns of those that others accept: by a watch where this daemon coordinates its data centre, else from
/// its peers, and from the service itself where nobody else knows a configuration.
class configuration_service
{
public:
    configuration_service(cluster_state &cluster,
                          key_value_client &keyValue,
                          std::function<bool()> isCoordinating,
                          std::function<void()> didChange);
    ~configuration_service();
    configuration_service(const configuration_service &) = delete;
    configuration_service &operator=(const configuration_service &) = delete;

    void start();
    void stop();
    /// Accepts an edit by one compare-and-swap of the head. A reply that was lost is settled by reading.
    edit_result accept(const proposed_edit &edit);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
