// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Http/http_server.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>

#include <ostream>

namespace vetchpost {

/// The POCO objects and the state of a request that is being handled.
struct http_exchange::private_data
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    Poco::URI uri;
    std::string path;
    int number = 1;
    bool canDetectDisconnect = true;
    std::ostream *stream = nullptr;

    Poco::Net::StreamSocket &socket() const
    {
        return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
    }
};

} // namespace vetchpost
