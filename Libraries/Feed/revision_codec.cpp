// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Feed/revision_codec.h"

#include "Libraries/Base/json.h"

namespace vetchpost {

namespace {

/// The name of the member with the era of the revision in the member \a name.
std::string eraField(const char *name)
{
    return std::string(name) + "_era";
}

} // namespace

void encodeRevision(Json::Value &json, const char *name, store_revision revision)
{
    json[name] = Json::UInt64(revision.number());
    if (revision.era() != store_era()) {
        json[eraField(name)] = Json::UInt64(revision.era().value());
    }
}

store_revision decodeRevision(const Json::Value &json, const char *name)
{
    return store_revision(jsonNumber(json, name), store_era(jsonNumber(json, eraField(name).c_str())));
}

} // namespace vetchpost
