// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Http/request_writer.h"

#include <ostream>

namespace vetchpost {

written_request writeRequest(Poco::Net::HTTPClientSession &session, Poco::Net::HTTPRequest &request, std::string_view body)
{
    // Streams catch the exceptions of their buffers, so that a failed write shows only in the state.
    auto &out = session.sendRequest(request);
    out << body << std::flush;
    return out.good() ? written_request::whole : written_request::partial;
}

} // namespace vetchpost
