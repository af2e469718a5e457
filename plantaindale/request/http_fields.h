// Which header fields pass through a node, and what those mean that the
// project reads or sets itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "generated/plantaindale_types.h"
#include <boost/beast/http/fields.hpp>

namespace plantaindale {

// Milliseconds that the caller will wait.
inline constexpr std::string_view kDeadlineField = "Plantaindale-Deadline-Ms";
// `not-run`, `unknown`: how a request ended that has no answer.
inline constexpr std::string_view kOutcomeField = "Plantaindale-Outcome";
inline constexpr std::string_view kIdempotencyField = "Idempotency-Key";

// To backend servers: the shard, the epoch of the owner's grant, and the end
// of the time in which the request may run, in microseconds of the clock that
// both processes share (CLOCK_BOOTTIME).
inline constexpr std::string_view kShardField = "Plantaindale-Shard";
inline constexpr std::string_view kEpochField = "Plantaindale-Grant-Epoch";
inline constexpr std::string_view kRunUntilField = "Plantaindale-Run-Until-Us";

// End-to-end fields only: those of one connection, the body's framing and the
// project's own are left out.
std::vector<protocol::header_field>
EndToEndFields(const boost::beast::http::fields& aFields);

// Adds the fields to a message.
void
AddFields(const std::vector<protocol::header_field>& aFields,
          boost::beast::http::fields& aTarget);

// The value of a field, compared without case; empty when absent.
std::string_view
FieldValue(const std::vector<protocol::header_field>& aFields,
           std::string_view aName);

} // namespace plantaindale
