// crashing_server is a backend server for tests, on fibers of the test's
// thread. Some targets make it end, reset the first connection, wait, or
// answer with a failure.
//
//   crashing_server server(context);
//   executor.SetServer(server.Announcement(), instant::max());
//   ... requests for /crash, /reset, /slow, /stuck, /failing or any other ...
//   server.End();
#pragma once

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaindale/membership/node_record.h"
#include "plantaindale/net/await_io.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/net/tcp_stream.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace plantaindale {

class crashing_server
{
public:
  static constexpr std::chrono::milliseconds kSlowTime{ 60 };

  explicit crashing_server(boost::asio::io_context& aContext)
    : mContext(aContext)
    , mAcceptor(aContext)
    , mEndpoint(boost::asio::ip::address_v4::loopback(), 0)
  {
    Start();
  }
  crashing_server(const crashing_server&) = delete;
  crashing_server& operator=(const crashing_server&) = delete;
  ~crashing_server()
  {
    End();
    // Their fibers use this object.
    while (mFibers > 0) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
  }

  // Begins again at the same address.
  void Start()
  {
    mAcceptor.open(mEndpoint.protocol());
    mAcceptor.set_option(boost::asio::socket_base::reuse_address(true));
    mAcceptor.bind(mEndpoint);
    mAcceptor.listen();
    mEndpoint = mAcceptor.local_endpoint();
    ++mStarts;
    ++mFibers;
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }

  // Closes the listener and all connections, as the end of the process does.
  void End()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (tcp_socket* socket : mSockets) {
      socket->close(ignored);
    }
  }

  // Of the current start.
  announced_server Announcement() const
  {
    announced_server server;
    server.mService = "stock";
    server.mAddress = ToText(mEndpoint);
    server.mSlots = 8;
    server.mInstance = "i-" + std::to_string(mStarts);
    server.mStartedAt = 1000 * mStarts;
    return server;
  }

  // How many requests with the target it began to run.
  std::ptrdiff_t RunsOf(std::string_view aTarget) const
  {
    return std::count(mTargets.begin(), mTargets.end(), aTarget);
  }

  bool IsRunning() const { return mAcceptor.is_open(); }

  std::function<void(std::string_view)> mOnRequest; // once it has been read

private:
  void AcceptLoop()
  {
    for (;;) {
      tcp_socket socket(mContext);
      const io_result accepted = AwaitIo([&](auto aHandler) {
        mAcceptor.async_accept(socket, std::move(aHandler));
      });
      if (accepted.mError) {
        break;
      }
      ++mFibers;
      boost::fibers::fiber([this, socket = std::move(socket)]() mutable {
        Serve(socket);
        --mFibers;
      }).detach();
    }
    --mFibers;
  }

  void Serve(tcp_socket& aSocket)
  {
    mSockets.insert(&aSocket);
    while (ServeRequest(aSocket)) {
    }
    mSockets.erase(&aSocket);
  }

  bool ServeRequest(tcp_socket& aSocket)
  {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    const io_result read = AwaitIo([&](auto aHandler) {
      http::async_read(aSocket, buffer, request, std::move(aHandler));
    });
    if (read.mError) {
      return false;
    }
    const std::string target(request.target());
    mTargets.push_back(target);
    if (mOnRequest) {
      mOnRequest(target);
    }
    if (target == "/crash") {
      boost::this_fiber::sleep_for(kSlowTime / 2);
      End();
      return false;
    }
    if (target == "/reset" && !std::exchange(mHasReset, true)) {
      aSocket.set_option(boost::asio::socket_base::linger(true, 0));
      aSocket.close();
      return false;
    }
    if (target == "/slow") {
      boost::this_fiber::sleep_for(kSlowTime);
    }
    while (target == "/stuck" && IsRunning()) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    http::response<http::string_body> answer(
      target == "/failing" ? http::status::service_unavailable
                           : http::status::ok,
      11);
    answer.prepare_payload();
    const io_result written = AwaitIo([&](auto aHandler) {
      http::async_write(aSocket, answer, std::move(aHandler));
    });
    return !written.mError;
  }

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::ip::tcp::endpoint mEndpoint;
  std::set<tcp_socket*> mSockets;
  std::vector<std::string> mTargets;
  bool mHasReset = false;
  int mStarts = 0;
  int mFibers = 0;
};

} // namespace plantaindale
