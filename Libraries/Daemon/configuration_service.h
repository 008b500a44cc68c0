// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/metrics.h"
#include "Libraries/Daemon/cluster_state.h"
#include "Libraries/Platform/key_value_client.h"

#include <functional>
#include <memory>
#include <optional>

namespace vetchpost {

/// The outcome of a proposed edit of the configuration.
struct edit_result
{
    bool isAccepted = false;
    /// The revision that the edit was accepted as; only if isAccepted.
    revision accepted;
    reason why;
    /// The problems in the text; only for invalid_configuration.
    std::vector<yaml_problem> problems;
    /// The edits accepted since the base revision of this one; only for edit_conflict.
    std::vector<accepted_edit> conflictingEdits;
};

/// Accepts edits of the configuration and follows the edits accepted elsewhere. The coordinator of a data centre watches the key-value
/// service. Other daemons receive the configuration from their peers, and read the service only if no peer has sent one.
class configuration_service
{
public:
    /// \a didChange is called when a new configuration should be sent to the peers at once.
    configuration_service(cluster_state &cluster,
                          key_value_client &keyValue,
                          std::function<bool()> isCoordinating,
                          std::function<void()> didChange);
    ~configuration_service();
    configuration_service(const configuration_service &) = delete;
    configuration_service &operator=(const configuration_service &) = delete;

    /// Starts the thread that follows the configuration.
    void start();
    /// Stops the thread and waits for it to end.
    void stop();
    /// Checks an edit and accepts it with a compare-and-swap of the configuration head. If a reply is lost, reads the head again to find
    /// out whether the write took effect. Blocks during retries.
    edit_result accept(const proposed_edit &edit);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
