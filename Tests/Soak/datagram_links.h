// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/endpoint.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace vetchpost::test {

/// Passes on the datagrams between the daemons, which know each other by the addresses of this object, so that they can be cut off from
/// each other.
class datagram_links
{
public:
    /// Listens at \a announced, the address of each daemon for the others. \a addressOf returns a daemon's own address; any thread may call
    /// it.
    datagram_links(const std::vector<endpoint> &announced, std::function<endpoint(int)> addressOf);
    ~datagram_links();
    datagram_links(const datagram_links &) = delete;
    datagram_links &operator=(const datagram_links &) = delete;

    /// Loses all further datagrams between the daemons in \a side and the others.
    void cut(const std::set<int> &side);

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost::test
