// paced_body is a body whose transfer has a turn among those that come in at
// the same time. The turn ends with the body, or earlier when the transfer is
// slow, so that a slow sender doesn't hold up the others.
#pragma once

#include <optional>

#include "plantaindale/limits/server_limiter.h"
#include "plantaindale/request/exchange.h"

namespace plantaindale {

// Belongs to one thread.
class paced_body : public body_source
{
public:
  paced_body(body_source& aBody, server_limiter::turn aTurn);

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override;

private:
  body_source& mBody;
  std::optional<server_limiter::turn> mTurn;
  instant mEndsBy = kNever; // known from the first read on
};

} // namespace plantaindale
