// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/json.h"
#include "Libraries/Peers/exchange.h"

namespace vetchpost {

// Messages are encoded as JSON arrays, which keeps the steady traffic small; docs/INTERFACES.md describes them. Decoding skips entries that
// are malformed; a later exchange sends them again.

Json::Value toJson(const exchange_digest &digest);
exchange_digest exchangeDigestFrom(const Json::Value &json);
Json::Value toJson(const exchange_delta &delta);
exchange_delta exchangeDeltaFrom(const Json::Value &json);

} // namespace vetchpost
