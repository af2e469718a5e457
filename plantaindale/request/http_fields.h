// Functions on HTTP header fields: which of them a node forwards, and access to
// single fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "generated/plantaindale_types.h"
#include <boost/beast/http/fields.hpp>

namespace plantaindale {

// The fields to forward: all but hop-by-hop fields, those that frame the body,
// and those of the router itself.
std::vector<protocol::header_field>
EndToEndFields(const boost::beast::http::fields& aFields);

void
AddFields(const std::vector<protocol::header_field>& aFields,
          boost::beast::http::fields& aTarget);

// Removes all fields of the name, compared case-insensitively.
void
RemoveField(std::vector<protocol::header_field>& aFields,
            std::string_view aName);

// The value of the first field of the name, compared case-insensitively; empty
// if absent.
std::string_view
FieldValue(const std::vector<protocol::header_field>& aFields,
           std::string_view aName);

} // namespace plantaindale
