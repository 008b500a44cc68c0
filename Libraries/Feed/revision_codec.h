// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Platform/key_value_service.h"

#include <json/value.h>

namespace vetchpost {

/// The name of the member of a message with the era of the revision in the member \a name. Messages of a daemon or service that knows no
/// eras lack it.
std::string eraField(const char *name);
/// Sets the member \a name of a message to a revision.
void encodeRevision(Json::Value &json, const char *name, store_revision revision);
/// Returns the revision in the member \a name of a message; none if there is none.
store_revision decodeRevision(const Json::Value &json, const char *name);

} // namespace vetchpost
