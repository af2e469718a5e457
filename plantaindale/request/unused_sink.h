// unused_sink is a response_sink for tests of requests that get no response.
//
//   unused_sink sink;
//   result = client.Run(address, head, deadline, body, sink, cancelled);
#pragma once

#include "plantaindale/request/exchange.h"

namespace plantaindale {

class unused_sink : public response_sink
{
public:
  absl::Status Ready() override { return absl::OkStatus(); }
  absl::Status Head(const protocol::answer_head&) override
  {
    return absl::OkStatus();
  }
  absl::Status Body(std::span<const char>) override { return absl::OkStatus(); }
};

} // namespace plantaindale
