// paced_body is a body whose transfer has a turn among those that come in at
// the same time. The turn ends with the body, or earlier when the transfer is
// slow, so that a slow sender doesn't hold up the others.
#pragma once

#include <optional>

#include "plantaindale/limits/server_limiter.h"
#include "plantaindale/request/exchange.h"

namespace plantaindale {

// Belongs to one thread.
class throttled_body : public body_source
{
public:
  throttled_body(body_source& aBody, server_limiter::permit aPermit);

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override;

private:
  body_source& mBody;
  std::optional<server_limiter::permit> mPermit;
  instant mEndsBy = kNever; // known from the first read on
};

} // namespace plantaindale
