// response_gate is what a caller_sink needs to know of the other responses on
// its connection.
#pragma once

#include <cstddef>

#include "absl/status/status.h"

namespace plantaindale {

// Calls block the calling fiber.
class response_gate
{
public:
  virtual ~response_gate() = default;
  // Whether the response may be sent now: all earlier ones have been sent.
  virtual bool IsTurn() const = 0;
  // Whether the response should be held as far as there is memory: it is not
  // its turn, or others wait behind it that would be lost if it broke off.
  virtual bool ShouldHold() const = 0;
  // Waits for the turn. Fails if the connection can't be used any more.
  virtual absl::Status AwaitTurn() = 0;
  // Reserves memory for a part of the response until it has been sent.
  virtual bool TryHold(std::size_t aBytes) = 0;
  // Called before the head is sent. Returns whether the connection stays open
  // after the response.
  virtual bool BeginResponse() = 0;
};

} // namespace plantaindale
