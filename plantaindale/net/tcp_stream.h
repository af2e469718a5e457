// tcp_stream is a TCP socket whose operations time out; bound to one
// io_context, used by the fibers of that thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>

namespace plantaindale {

using tcp_stream =
  boost::beast::basic_stream<boost::asio::ip::tcp,
                             boost::asio::io_context::executor_type>;
using tcp_socket = tcp_stream::socket_type;

} // namespace plantaindale
