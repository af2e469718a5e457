// Small HTTP/1.1 helpers for the stand-ins: blocking sockets, one thread for
// each connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct message
{
  std::string mStart; // request or status line
  std::map<std::string, std::string> mFields; // names in lower case
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? "" : found->second;
  }
  std::string Method() const { return mStart.substr(0, mStart.find(' ')); }
  std::string Target() const
  {
    const auto begin = mStart.find(' ') + 1;
    return mStart.substr(begin, mStart.find(' ', begin) - begin);
  }
  int Status() const
  {
    return mStart.size() > 12 ? std::atoi(mStart.c_str() + 9) : 0;
  }
};

// A connection with a buffer of bytes that were read too far.
class connection
{
public:
  explicit connection(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { close(mSocket); }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n = send(
        mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads a message; none at the end of the connection or after the time.
  std::optional<message> Receive(milliseconds aTime)
  {
    const auto until = steady::now() + aTime;
    message read;
    std::size_t end = 0;
    while ((end = mInput.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    const std::string head = mInput.substr(0, end + 2);
    mInput.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    read.mStart = head.substr(0, line);
    while ((line += 2) < head.size()) {
      const std::size_t next = head.find("\r\n", line);
      const std::size_t colon = head.find(':', line);
      std::string name = head.substr(line, colon - line);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const std::size_t value = head.find_first_not_of(' ', colon + 1);
      read.mFields[name] = head.substr(value, next - value);
      line = next;
    }
    if (read.Field("transfer-encoding") == "chunked") {
      return ReadChunks(read, until) ? std::optional(read) : std::nullopt;
    }
    const std::string length = read.Field("content-length");
    const std::size_t bytes = length.empty() ? 0 : std::stoul(length);
    if (!Await(bytes, until)) {
      return std::nullopt;
    }
    read.mBody = mInput.substr(0, bytes);
    mInput.erase(0, bytes);
    return read;
  }

  // Whether the other side has closed the connection.
  bool HasEnded() const
  {
    pollfd state{ mSocket, POLLRDHUP, 0 };
    return poll(&state, 1, 0) > 0;
  }

private:
  bool Fill(steady::time_point aUntil)
  {
    const auto left =
      std::chrono::duration_cast<milliseconds>(aUntil - steady::now()).count();
    pollfd state{ mSocket, POLLIN, 0 };
    if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t n = recv(mSocket, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    mInput.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  bool Await(std::size_t aBytes, steady::time_point aUntil)
  {
    while (mInput.size() < aBytes) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    return true;
  }

  bool ReadChunks(message& aRead, steady::time_point aUntil)
  {
    for (;;) {
      std::size_t end = 0;
      while ((end = mInput.find("\r\n")) == std::string::npos) {
        if (!Fill(aUntil)) {
          return false;
        }
      }
      const std::size_t bytes = std::stoul(mInput.substr(0, end), nullptr, 16);
      mInput.erase(0, end + 2);
      if (!Await(bytes + 2, aUntil)) {
        return false;
      }
      aRead.mBody += mInput.substr(0, bytes);
      mInput.erase(0, bytes + 2);
      if (bytes == 0) {
        return true;
      }
    }
  }

  int mSocket;
  std::string mInput;
};

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int
Connect(int aPort)
{
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  if (connect(
        made, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0) {
    close(made);
    return -1;
  }
  return made;
}

// A port that is free for TCP and UDP, below those that outgoing connections
// get. Cases that run at the same time look in different places.
inline int
FreePort()
{
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  constexpr int kPerProcess = 50;
  static int sNext = getpid() * kPerProcess % kCount;
  for (;;) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const int port = kFirst + sNext++ % kCount;
    const sockaddr_in address = Loopback(port);
    const auto* at = reinterpret_cast<const sockaddr*>(&address);
    const bool is_free = bind(tcp, at, sizeof address) == 0 &&
                         bind(udp, at, sizeof address) == 0;
    close(tcp);
    close(udp);
    if (is_free) {
      return port;
    }
  }
}

// Serves each connection to the port on a thread of its own.
class listener
{
public:
  listener(int aPort, std::function<void(connection&)> aServe)
    : mServe(std::move(aServe))
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = Loopback(aPort);
    if (bind(mSocket,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(mSocket, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    std::thread([this, made = mSocket] {
      for (;;) {
        const int accepted = accept4(made, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          close(made);
          return;
        }
        std::thread([this, accepted] {
          if (Add(accepted)) {
            connection served(accepted);
            mServe(served);
            const std::lock_guard<std::mutex> lock(mMutex);
            mOpen.erase(accepted);
          } else {
            close(accepted);
          }
        }).detach();
      }
    }).detach();
  }

  // Ends the connections and listens no more, like a process that crashes. The
  // object must go on to exist.
  void Crash()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mHasCrashed = true;
    shutdown(mSocket, SHUT_RDWR);
    for (const int open : mOpen) {
      shutdown(open, SHUT_RDWR);
    }
  }

private:
  bool Add(int aSocket)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mHasCrashed) {
      mOpen.insert(aSocket);
    }
    return !mHasCrashed;
  }

  int mSocket = -1;
  std::function<void(connection&)> mServe;
  std::mutex mMutex;
  std::set<int> mOpen;
  bool mHasCrashed = false;
};

// One call over a connection of its own.
inline std::optional<message>
Call(int aPort,
     const std::string& aRequestLine,
     const std::string& aFields,
     const std::string& aBody,
     milliseconds aTime)
{
  const int made = Connect(aPort);
  if (made < 0) {
    return std::nullopt;
  }
  connection connected(made);
  if (!connected.Send(aRequestLine + " HTTP/1.1\r\n" + aFields +
                      "Content-Length: " + std::to_string(aBody.size()) +
                      "\r\n\r\n" + aBody)) {
    return std::nullopt;
  }
  return connected.Receive(aTime);
}

} // namespace review
