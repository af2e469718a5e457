// tcp_stream is a TCP socket whose operations have timeouts. It is bound to one
// io_context and may be used only by fibers of the thread that runs it.
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
