// frame_stream sends and receives protocol::traffic_frame over one TCP
// connection: each is preceded by its length in four bytes, network order.
//
//   frames.Queue(head);
//   frames.Queue(first_chunk);
//   absl::Status sent = frames.Flush(deadline);
//   auto frame = frames.Receive(deadline);
#pragma once

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "generated/plantaindale_types.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/beast/core/flat_buffer.hpp>

namespace plantaindale {

// Longest frame that is sent or taken, in bytes.
inline constexpr std::uint32_t kMaxFrameBytes = 1024 * 1024;

// Belongs to one thread; calls wait on the calling fiber.
class frame_stream
{
public:
  // `aPeer` is named in errors.
  frame_stream(tcp_stream aStream, std::string aPeer);

  void Queue(const protocol::traffic_frame& aFrame);
  // Sends all that is queued.
  absl::Status Flush(instant aDeadline);
  absl::Status Send(const protocol::traffic_frame& aFrame, instant aDeadline);
  // kOutOfRange: the peer closed the connection between two frames.
  absl::StatusOr<protocol::traffic_frame> Receive(instant aDeadline);
  void Close();

  tcp_stream& Stream() { return mStream; }
  const std::string& Peer() const { return mPeer; }
  // Whether bytes of a next frame have come already.
  bool HasInput() const { return mInput.size() > 0; }

private:
  absl::Status Fill(std::size_t aBytes, instant aDeadline);

  tcp_stream mStream;
  std::string mPeer;
  std::string mOutput;
  boost::beast::flat_buffer mInput;
};

// Sets the time by which the stream's next operations must be complete.
void
ExpireAt(tcp_stream& aStream, instant aDeadline);

} // namespace plantaindale
