// Which header fields pass through a node, and what those mean that the
// project reads or sets itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "generated/plantaindale_types.h"
#include <boost/beast/http/fields.hpp>

namespace plantaindale {

inline constexpr std::string_view kIdempotencyField = "Idempotency-Key";

// End-to-end fields only: those of one connection, the body's framing and the
// project's own are left out.
std::vector<protocol::header_field>
EndToEndFields(const boost::beast::http::fields& aFields);

// Adds the fields to a message.
void
AddFields(const std::vector<protocol::header_field>& aFields,
          boost::beast::http::fields& aTarget);

// Takes every field of the name out, compared without case.
void
RemoveField(std::vector<protocol::header_field>& aFields,
            std::string_view aName);

// The value of a field, compared without case; empty when absent.
std::string_view
FieldValue(const std::vector<protocol::header_field>& aFields,
           std::string_view aName);

} // namespace plantaindale
