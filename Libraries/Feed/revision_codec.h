// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"

#include <json/value.h>

namespace vetchpost {

/// Sets the member \a name of a message to a revision. Its era has a member of its own, which messages of a daemon or service that knows no
/// eras lack.
void encodeRevision(Json::Value &json, const char *name, store_revision revision);
/// Returns the revision in the member \a name of a message; none if there is none.
store_revision decodeRevision(const Json::Value &json, const char *name);

} // namespace vetchpost
