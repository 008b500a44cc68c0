// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Peers/exchange.h"

namespace vetchpost {

// The forms on the wire are arrays, to keep the steady traffic small; docs/INTERFACES.md describes them. What cannot be
// read of a message is left out, which the next exchange heals.

Json::Value toJson(const exchange_digest &digest);
exchange_digest exchangeDigestFrom(const Json::Value &json);
Json::Value toJson(const exchange_delta &delta);
exchange_delta exchangeDeltaFrom(const Json::Value &json);

} // namespace vetchpost
