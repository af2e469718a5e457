// frame_stream sends and receives protocol::traffic_frame over a TCP
// connection. Each frame is preceded by its length in 4 bytes, in network byte
// order.
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

// Maximum size of an encoded frame.
inline constexpr std::uint32_t kMaxFrameBytes = 1024 * 1024;

// Belongs to one thread; calls block the calling fiber.
class frame_stream
{
public:
  // Errors name `aPeer`.
  frame_stream(tcp_stream aStream, std::string aPeer);

  // Appends a frame to the output buffer without sending it.
  void Queue(const protocol::traffic_frame& aFrame);
  // Sends all queued frames.
  absl::Status Flush(instant aDeadline);
  // Queues one frame and flushes.
  absl::Status Send(const protocol::traffic_frame& aFrame, instant aDeadline);
  // Returns the next frame. kOutOfRange: the peer closed the connection between
  // two frames.
  absl::StatusOr<protocol::traffic_frame> Receive(instant aDeadline);
  void Close();

  tcp_stream& Stream() { return mStream; }
  const std::string& Peer() const { return mPeer; }
  // Whether bytes of another frame have been read already.
  bool HasInput() const { return mInput.size() > 0; }

private:
  // Reads until the input buffer holds at least `aBytes`.
  absl::Status Fill(std::size_t aBytes, instant aDeadline);

  tcp_stream mStream;
  std::string mPeer;
  std::string mOutput;
  boost::beast::flat_buffer mInput;
};

// Sets the deadline of the next operations on the stream.
void
ExpireAt(tcp_stream& aStream, instant aDeadline);

} // namespace plantaindale
