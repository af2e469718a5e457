#include "plantaindale/node/control_transport.h"

#include "plantaindale/base/error.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/codec.h"
#include "plantaindale/net/compression.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/http_server.h"
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxDatagramBytes = 60 * 1024;
// Smaller messages are sent as they are.
constexpr std::size_t kMinPackedBytes = 4 * 1024;
// More would only share the same link.
constexpr std::size_t kMaxConcurrentStreams = 3;
constexpr std::size_t kMaxWaitingPerPeer = 2;
constexpr std::size_t kMaxStreamBytes = 64 * 1024 * 1024;
constexpr std::chrono::seconds kStreamTimeout{ 5 };
constexpr std::chrono::milliseconds kAcceptPause{ 20 };

} // namespace

control_transport::control_transport(asio::io_context& aContext,
                                     receiver aReceive)
  : mContext(aContext)
  , mReceive(std::move(aReceive))
  , mDatagrams(aContext)
  , mAcceptor(aContext)
{
}

absl::Status
control_transport::Listen(const std::string& aAddress)
{
  if (absl::Status bound = BindListener(mAcceptor, aAddress); !bound.ok()) {
    return bound;
  }
  auto endpoint = ParseUdpEndpoint(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  boost::system::error_code error;
  mDatagrams.open(endpoint->protocol(), error);
  if (!error) {
    mDatagrams.bind(*endpoint, error);
  }
  if (error) {
    return MakeError(
      absl::StatusCode::kUnavailable, "listen_udp", aAddress, error.message());
  }
  boost::fibers::fiber([this] { ReceiveDatagrams(); }).detach();
  boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  return absl::OkStatus();
}

void
control_transport::Send(const std::string& aAddress,
                        const protocol::control_message& aMessage)
{
  std::string bytes = Pack(Encode(aMessage));
  ++mCounts.mSentMessages;
  mCounts.mSentBytes += static_cast<std::int64_t>(bytes.size());
  if (bytes.size() > kMaxDatagramBytes) {
    QueueStream(aAddress, std::move(bytes));
    return;
  }
  if (auto endpoint = ParseUdpEndpoint(aAddress); endpoint.ok()) {
    boost::system::error_code ignored;
    mDatagrams.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
  }
}

std::string
control_transport::Pack(std::string aBytes)
{
  if (aBytes.size() < kMinPackedBytes) {
    return aBytes;
  }
  if (aBytes != mUnpacked) {
    protocol::control_message message;
    message.__set_packed(Compress(aBytes));
    mPacked = Encode(message);
    mUnpacked = std::move(aBytes);
  }
  return mPacked;
}

void
control_transport::QueueStream(const std::string& aAddress, std::string aBytes)
{
  std::deque<std::string>& waiting = mWaiting[aAddress];
  mCounts.mWaitingBytes += static_cast<std::int64_t>(aBytes.size());
  waiting.push_back(std::move(aBytes));
  if (waiting.size() > kMaxWaitingPerPeer) {
    mCounts.mWaitingBytes -= static_cast<std::int64_t>(waiting.front().size());
    ++mCounts.mSuperseded;
    waiting.pop_front();
  }
  StartStreams();
}

void
control_transport::StartStreams()
{
  for (auto peer = mWaiting.begin();
       peer != mWaiting.end() && mSending.size() < kMaxConcurrentStreams;) {
    if (mSending.contains(peer->first)) {
      ++peer;
      continue;
    }
    std::string bytes = std::move(peer->second.front());
    peer->second.pop_front();
    mCounts.mWaitingBytes -= static_cast<std::int64_t>(bytes.size());
    mSending.insert(peer->first);
    boost::fibers::fiber([this,
                          address = peer->first,
                          bytes = std::move(bytes)] {
      SendStream(address, bytes);
      mSending.erase(address);
      StartStreams();
    }).detach();
    peer = peer->second.empty() ? mWaiting.erase(peer) : std::next(peer);
  }
}

void
control_transport::SendStream(const std::string& aAddress,
                              const std::string& aBytes)
{
  auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint.ok()) {
    return;
  }
  tcp_stream stream(mContext);
  stream.expires_after(kStreamTimeout);
  io_result sent = AwaitIo([&](auto aHandler) {
    stream.async_connect(*endpoint, std::move(aHandler));
  });
  if (!sent.mError) {
    sent = AwaitIo([&](auto aHandler) {
      asio::async_write(stream, asio::buffer(aBytes), std::move(aHandler));
    });
  }
  if (sent.mError) {
    log_event("message_lost", log_level::kWarning)
      .With("step", "send_stream")
      .With("peer", aAddress)
      .With("reason", sent.mError.message());
  }
}

void
control_transport::ReceiveDatagrams()
{
  std::vector<char> buffer(kMaxDatagramBytes);
  for (;;) {
    asio::ip::udp::endpoint peer;
    io_result received = AwaitIo([&](auto aHandler) {
      mDatagrams.async_receive_from(
        asio::buffer(buffer), peer, std::move(aHandler));
    });
    if (!received.mError) {
      Deliver({ buffer.data(), received.mBytes }, peer.address().to_string());
    }
  }
}

void
control_transport::AcceptLoop()
{
  for (;;) {
    tcp_socket socket(mContext);
    io_result accepted = AwaitIo([&](auto aHandler) {
      mAcceptor.async_accept(socket, std::move(aHandler));
    });
    if (accepted.mError) {
      boost::this_fiber::sleep_for(kAcceptPause);
      continue;
    }
    boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
      ReceiveStream(std::move(socket));
    }).detach();
  }
}

void
control_transport::ReceiveStream(tcp_socket aSocket)
{
  boost::system::error_code error;
  const std::string peer = ToText(aSocket.remote_endpoint(error));
  tcp_stream stream(std::move(aSocket));
  stream.expires_after(kStreamTimeout);
  std::string bytes;
  auto buffer = asio::dynamic_buffer(bytes, kMaxStreamBytes);
  io_result read = AwaitIo([&](auto aHandler) {
    asio::async_read(stream, buffer, std::move(aHandler));
  });
  if (read.mError == asio::error::eof) {
    Deliver(bytes, peer);
  }
}

void
control_transport::Deliver(std::string_view aBytes, const std::string& aPeer)
{
  ++mCounts.mReceivedMessages;
  mCounts.mReceivedBytes += static_cast<std::int64_t>(aBytes.size());
  auto message = Decode<protocol::control_message>(aBytes, aPeer);
  if (message.ok() && message->__isset.packed) {
    const auto bytes = Decompress(message->packed, kMaxStreamBytes);
    message = bytes.ok() ? Decode<protocol::control_message>(*bytes, aPeer)
                         : bytes.status();
  }
  if (!message.ok()) {
    ++mCounts.mMalformed;
    log_event("message_refused", log_level::kWarning)
      .With("peer", aPeer)
      .With("reason", Reason(message.status()));
    return;
  }
  mReceive(*std::move(message));
}

} // namespace plantaindale
