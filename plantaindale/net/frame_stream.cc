#include "plantaindale/net/frame_stream.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/codec.h"
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace plantaindale {
namespace {

constexpr std::size_t kLengthBytes = 4;
// Minimum buffer space of a read.
constexpr std::size_t kMinReadBytes = 16 * 1024;

} // namespace

void
ExpireAt(tcp_stream& aStream, instant aDeadline)
{
  const duration left = aDeadline - boot_clock::now();
  aStream.expires_after(std::max(left, duration(1)));
}

frame_stream::frame_stream(tcp_stream aStream, std::string aPeer)
  : mStream(std::move(aStream))
  , mPeer(std::move(aPeer))
{
}

void
frame_stream::Queue(const protocol::traffic_frame& aFrame)
{
  const std::string bytes = Encode(aFrame);
  unsigned char length[kLengthBytes];
  boost::endian::store_big_u32(length,
                               static_cast<std::uint32_t>(bytes.size()));
  mOutput.append(reinterpret_cast<const char*>(length), kLengthBytes);
  mOutput.append(bytes);
}

absl::Status
frame_stream::Flush(instant aDeadline)
{
  ExpireAt(mStream, aDeadline);
  io_result sent = AwaitIo([&](auto aHandler) {
    boost::asio::async_write(
      mStream, boost::asio::buffer(mOutput), std::move(aHandler));
  });
  mOutput.clear();
  if (sent.mError) {
    return MakeError(
      absl::StatusCode::kUnknown, "send", mPeer, sent.mError.message());
  }
  return absl::OkStatus();
}

absl::Status
frame_stream::Send(const protocol::traffic_frame& aFrame, instant aDeadline)
{
  Queue(aFrame);
  return Flush(aDeadline);
}

absl::Status
frame_stream::Fill(std::size_t aBytes, instant aDeadline)
{
  ExpireAt(mStream, aDeadline);
  while (mInput.size() < aBytes) {
    // The timer of the stream does not end reads that complete at once.
    if (boot_clock::now() >= aDeadline) {
      return MakeError(
        absl::StatusCode::kUnknown, "receive", mPeer, "deadline exceeded");
    }
    const std::size_t room = std::max(kMinReadBytes, aBytes - mInput.size());
    io_result read = AwaitIo([&](auto aHandler) {
      mStream.async_read_some(mInput.prepare(room), std::move(aHandler));
    });
    if (read.mError) {
      const bool is_end = read.mError == boost::asio::error::eof &&
                          mInput.size() == 0 && aBytes == kLengthBytes;
      return MakeError(is_end ? absl::StatusCode::kOutOfRange
                              : absl::StatusCode::kUnknown,
                       "receive",
                       mPeer,
                       read.mError.message());
    }
    mInput.commit(read.mBytes);
  }
  return absl::OkStatus();
}

absl::StatusOr<protocol::traffic_frame>
frame_stream::Receive(instant aDeadline)
{
  if (absl::Status got = Fill(kLengthBytes, aDeadline); !got.ok()) {
    return got;
  }
  const auto* start = static_cast<const unsigned char*>(mInput.data().data());
  const std::uint32_t length = boost::endian::load_big_u32(start);
  if (length > kMaxFrameBytes) {
    return MakeError(
      absl::StatusCode::kInvalidArgument,
      "receive",
      mPeer,
      absl::StrCat(
        "frame of ", length, " bytes exceeds the limit of ", kMaxFrameBytes));
  }
  mInput.consume(kLengthBytes);
  if (absl::Status got = Fill(length, aDeadline); !got.ok()) {
    return got;
  }
  const std::string_view bytes(static_cast<const char*>(mInput.data().data()),
                               length);
  auto frame = Decode<protocol::traffic_frame>(bytes, mPeer);
  mInput.consume(length);
  return frame;
}

void
frame_stream::Close()
{
  boost::system::error_code ignored;
  mStream.socket().close(ignored);
}

} // namespace plantaindale
