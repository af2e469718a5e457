// throttled_body is a body whose transfer holds a permit of a server_limiter,
// which bounds concurrent transfers. The permit is released at the end of the
// body, or earlier if the transfer is slow, so that a slow sender does not
// block others.
#pragma once

#include <optional>

#include "plantaindale/limits/server_limiter.h"
#include "plantaindale/request/exchange.h"

namespace plantaindale {

// Single-threaded.
class throttled_body : public body_source
{
public:
  throttled_body(body_source& aBody, server_limiter::permit aPermit);

  absl::StatusOr<std::size_t> Read(std::span<char> aBuffer) override;

private:
  body_source& mBody;
  std::optional<server_limiter::permit> mPermit;
  instant mEndsBy = kNever; // set by the first read
};

} // namespace plantaindale
