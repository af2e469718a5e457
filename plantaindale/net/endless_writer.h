// Plays a peer that sends bytes without end, for tests.
//
//   std::size_t written = WriteUntilClosed(socket, "a");
//   BOOST_CHECK_LT(written, kMaxAcceptedBytes);
#pragma once

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace plantaindale {

inline constexpr std::size_t kEndlessBytes = 64 * 1024 * 1024;
// More than the buffers of a loopback connection take without a reader.
inline constexpr std::size_t kMaxAcceptedBytes = 16 * 1024 * 1024;

// Writes `aFiller` again and again until the peer closes the connection, at
// most kEndlessBytes. Returns how many bytes were written.
inline std::size_t
WriteUntilClosed(boost::asio::ip::tcp::socket& aSocket,
                 std::string_view aFiller)
{
  constexpr std::size_t kBlockBytes = 64 * 1024;
  std::string block;
  while (block.size() < kBlockBytes) {
    block += aFiller;
  }
  boost::system::error_code error;
  std::size_t written = 0;
  while (!error && written < kEndlessBytes) {
    written += boost::asio::write(aSocket, boost::asio::buffer(block), error);
  }
  return written;
}

} // namespace plantaindale
