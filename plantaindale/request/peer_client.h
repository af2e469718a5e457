// peer_client forwards a request to another node and its response to the sink.
// Each connection carries one request at a time and is reused for later ones.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "plantaindale/net/frame_stream.h"
#include "plantaindale/request/exchange.h"
#include "plantaindale/request/request_result.h"

namespace plantaindale {

// Single-threaded; Run blocks the calling fiber.
class peer_client
{
public:
  explicit peer_client(boost::asio::io_context& aContext);

  // `aPeer` is the other node's peer address. The result includes that node's
  // number of outstanding requests, if it reported one.
  request_result Run(const std::string& aPeer,
                     const protocol::request_head& aHead,
                     instant aDeadline,
                     body_source& aBody,
                     response_sink& aSink,
                     cancellation& aCancellation);

private:
  struct idle_connection
  {
    std::unique_ptr<frame_stream> mFrames;
    instant mSince;
  };

  std::unique_ptr<frame_stream> TakeIdle(const std::string& aPeer);
  absl::StatusOr<std::unique_ptr<frame_stream>> Connect(
    const std::string& aPeer,
    instant aDeadline,
    cancellation& aCancellation);
  void KeepIdle(std::unique_ptr<frame_stream> aFrames);

  boost::asio::io_context& mContext;
  std::map<std::string, std::vector<idle_connection>> mIdle;
};

} // namespace plantaindale
