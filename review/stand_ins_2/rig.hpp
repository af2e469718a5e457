// Stand-ins for the cases of the second review: a small HTTP layer, a platform
// store, backend servers and clients as the users' pages describe them, and the
// node processes, started with the commands of the deploy file. All of it runs
// on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>

namespace rig {

namespace json = boost::json;
using steady = std::chrono::steady_clock;
using std::string;

// ---------------------------------------------------------------- time, record

inline const steady::time_point kBegin = steady::now();

inline double Now() // seconds since the program began
{
  return std::chrono::duration<double>(steady::now() - kBegin).count();
}

inline void Sleep(double aSeconds)
{
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}

inline std::int64_t UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

// Lines with the time at which they were written.
class record
{
public:
  explicit record(const string& aPath)
    : mFile(aPath)
  {
  }
  void Write(const string& aLine)
  {
    std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Now());
    mFile << time << aLine << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline record* gRecord = nullptr;
inline void Note(const string& aLine)
{
  if (gRecord != nullptr) {
    gRecord->Write(aLine);
  }
}

[[noreturn]] inline void CantRun(const string& aWhy);

// ------------------------------------------------------------------------ HTTP

struct message
{
  string mMethod, mTarget; // of a request
  int mStatus = 0;         // of a response
  std::vector<std::pair<string, string>> mFields;
  string mBody;
  bool mIsComplete = false;

  string Field(const string& aName) const
  {
    for (const auto& [name, value] : mFields) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  string Query(const string& aName) const
  {
    const auto mark = mTarget.find('?');
    if (mark == string::npos) {
      return "";
    }
    std::stringstream rest(mTarget.substr(mark + 1));
    for (string pair; std::getline(rest, pair, '&');) {
      if (pair.rfind(aName + "=", 0) == 0) {
        return pair.substr(aName.size() + 1);
      }
    }
    return "";
  }
};

class connection
{
public:
  explicit connection(int aFd)
    : mFd(aFd)
  {
    const int on = 1;
    setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  ~connection() { close(mFd); }

  int Fd() const { return mFd; }
  bool Send(const string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t n =
        ::send(mFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Closes with a reset.
  void Reset()
  {
    const linger now{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    shutdown(mFd, SHUT_RD);
  }
  bool PeerHasClosed() const
  {
    pollfd end{ mFd, POLLRDHUP, 0 };
    return poll(&end, 1, 0) > 0;
  }
  // Reads a message; false at the end, on an error or after aSeconds.
  bool Read(message& aMessage, double aSeconds)
  {
    const double until = Now() + aSeconds;
    std::size_t end;
    while ((end = mInput.find("\r\n\r\n")) == string::npos) {
      if (!Fill(until)) {
        return false;
      }
    }
    std::stringstream head(mInput.substr(0, end));
    mInput.erase(0, end + 4);
    string line;
    std::getline(head, line);
    Trim(line);
    if (line.rfind("HTTP/", 0) == 0) {
      aMessage.mStatus = std::atoi(line.c_str() + 9);
    } else {
      std::stringstream first(line);
      first >> aMessage.mMethod >> aMessage.mTarget;
    }
    while (std::getline(head, line)) {
      Trim(line);
      const auto colon = line.find(':');
      if (colon != string::npos) {
        string value = line.substr(colon + 1);
        Trim(value);
        aMessage.mFields.emplace_back(line.substr(0, colon), value);
      }
    }
    if (aMessage.Field("Transfer-Encoding") == "chunked") {
      return ReadChunks(aMessage, until);
    }
    const string length = aMessage.Field("Content-Length");
    if (length.empty() && aMessage.mStatus >= 200) {
      while (Fill(until)) {
      }
      aMessage.mBody = std::move(mInput);
      aMessage.mIsComplete = true;
      return true;
    }
    const auto bytes = static_cast<std::size_t>(std::atoll(length.c_str()));
    while (mInput.size() < bytes) {
      if (!Fill(until)) {
        return false;
      }
    }
    aMessage.mBody = mInput.substr(0, bytes);
    mInput.erase(0, bytes);
    aMessage.mIsComplete = true;
    return true;
  }

private:
  static void Trim(string& aText)
  {
    const auto is_space = [](char c) { return c == ' ' || c == '\r' || c == '\t'; };
    while (!aText.empty() && is_space(aText.back())) {
      aText.pop_back();
    }
    while (!aText.empty() && is_space(aText.front())) {
      aText.erase(0, 1);
    }
  }
  bool ReadChunks(message& aMessage, double aUntil)
  {
    for (;;) {
      std::size_t end;
      while ((end = mInput.find("\r\n")) == string::npos) {
        if (!Fill(aUntil)) {
          return false;
        }
      }
      const auto bytes = std::strtoul(mInput.c_str(), nullptr, 16);
      while (mInput.size() < end + 2 + bytes + 2) {
        if (!Fill(aUntil)) {
          return false;
        }
      }
      aMessage.mBody += mInput.substr(end + 2, bytes);
      mInput.erase(0, end + 2 + bytes + 2);
      if (bytes == 0) {
        aMessage.mIsComplete = true;
        return true;
      }
    }
  }
  bool Fill(double aUntil)
  {
    const double left = aUntil - Now();
    pollfd readable{ mFd, POLLIN, 0 };
    if (left <= 0 || poll(&readable, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t got = recv(mFd, bytes, sizeof bytes, 0);
    if (got <= 0) {
      return false;
    }
    mInput.append(bytes, static_cast<std::size_t>(got));
    return true;
  }

  int mFd;
  string mInput;
};

inline sockaddr_in ToSocketAddress(const string& aAddress)
{
  const auto colon = aAddress.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline std::unique_ptr<connection> Connect(const string& aAddress)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSocketAddress(aAddress);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<connection>(fd);
}

// One call on a connection of its own. Status 0: no complete answer.
inline message Call(const string& aAddress,
                    const string& aMethod,
                    const string& aTarget,
                    const string& aFields,
                    const string& aBody,
                    double aSeconds)
{
  message answer;
  const auto to = Connect(aAddress);
  if (to == nullptr) {
    return answer;
  }
  string head = aMethod + " " + aTarget + " HTTP/1.1\r\n" + aFields;
  if (!aBody.empty() || aMethod == "POST" || aMethod == "PUT") {
    head += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  if (!to->Send(head + "\r\n" + aBody)) {
    return answer;
  }
  message read;
  do {
    read = {};
    if (!to->Read(read, aSeconds)) {
      return answer;
    }
  } while (read.mStatus < 200);
  return read;
}

// Listens, and serves each connection on a thread of its own.
class listener
{
public:
  using serve = std::function<void(connection&)>;

  listener(const string& aAddress, serve aServe)
    : mServe(std::move(aServe))
  {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = ToSocketAddress(aAddress);
    if (bind(mFd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(mFd, 256) != 0) {
      CantRun("can't listen at " + aAddress + ": " + std::strerror(errno));
    }
    std::thread([own = mState, fd = mFd, serve = mServe] {
      Accept(own, fd, serve);
    }).detach();
  }
  listener(const listener&) = delete;
  // Refuses connections from now on, and closes those that are open, as at the
  // end of a process.
  ~listener()
  {
    std::lock_guard lock(mState->mMutex);
    mState->mHasEnded = true;
    shutdown(mFd, SHUT_RDWR);
    close(mFd);
    for (const int fd : mState->mOpen) {
      shutdown(fd, SHUT_RDWR);
    }
  }

private:
  struct state
  {
    std::mutex mMutex;
    std::set<int> mOpen;
    bool mHasEnded = false;
  };

  static void Accept(std::shared_ptr<state> aState, int aFd, serve aServe)
  {
    for (;;) {
      const int fd = accept4(aFd, nullptr, nullptr, SOCK_CLOEXEC);
      std::lock_guard lock(aState->mMutex);
      if (aState->mHasEnded) {
        if (fd >= 0) {
          close(fd);
        }
        return;
      }
      if (fd < 0) {
        continue;
      }
      aState->mOpen.insert(fd);
      std::thread([aState, fd, aServe] {
        connection peer(fd);
        aServe(peer);
        std::lock_guard lock(aState->mMutex);
        aState->mOpen.erase(fd);
      }).detach();
    }
  }

  int mFd;
  serve mServe;
  std::shared_ptr<state> mState = std::make_shared<state>();
};

inline string Response(int aStatus, const string& aFields, const string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// ------------------------------------------------------------- platform's store

// The store of PROTOCOL.md, in memory. `Copy` keeps a copy, and `Restore` comes
// back from it as in a drill: revisions go back, and the era rises by one.
class platform
{
public:
  explicit platform(const string& aAddress, std::int64_t aFirstEra)
    : mEra(aFirstEra)
    , mListener(aAddress, [this](connection& aPeer) { Serve(aPeer); })
  {
  }

  // What the operator writes.
  void Put(const string& aKind, const string& aName, const json::value& aSpecification)
  {
    std::lock_guard lock(mMutex);
    object& target = mState.mKinds[aKind][aName];
    const string specification = json::serialize(aSpecification);
    if (target.mSpecification == specification) {
      return;
    }
    target.mSpecification = specification;
    target.mRevision = ++mState.mRevision;
    target.mCreated = target.mCreated == 0 ? mState.mRevision : target.mCreated;
    mState.mHistory.push_back({ mState.mRevision, aKind, aName, false });
    mChanged.notify_all();
  }
  void Copy()
  {
    std::lock_guard lock(mMutex);
    mCopy = mState;
    Note("store: copy at revision " + std::to_string(mState.mRevision));
  }
  // The store is away for `aSeconds`, and then back from the copy. Connections
  // of waiting calls are cut.
  void Restore(double aSeconds)
  {
    {
      std::lock_guard lock(mMutex);
      mIsAway = true;
      ++mCut;
      Note("store: away at revision " + std::to_string(mState.mRevision));
      mChanged.notify_all();
    }
    Sleep(aSeconds);
    std::lock_guard lock(mMutex);
    mState = mCopy;
    mState.mHistory.clear();
    mState.mHistoryFrom = mState.mRevision;
    ++mEra;
    mIsAway = false;
    Note("store: back at revision " + std::to_string(mState.mRevision) +
         ", Store-Era " + std::to_string(mEra));
  }
  std::map<string, string> Objects(const string& aKind)
  {
    std::lock_guard lock(mMutex);
    std::map<string, string> found;
    for (const auto& [name, one] : mState.mKinds[aKind]) {
      found[name] = one.mSpecification;
    }
    return found;
  }
  bool mLogsWrites = false;
  // Parts of the writes whose answers are lost, and that are done 1 to 6 s later
  // without an answer.
  std::atomic<double> mLostAnswers = 0, mLateWrites = 0;

private:
  struct object
  {
    std::int64_t mRevision = 0, mCreated = 0;
    string mSpecification = "null", mStatus = "null", mFinalizers = "[]";
  };
  struct change
  {
    std::int64_t mRevision;
    string mKind, mName;
    bool mIsDeleted;
  };
  struct state
  {
    std::int64_t mRevision = 100;
    std::int64_t mHistoryFrom = 100;
    std::map<string, std::map<string, object>> mKinds;
    std::vector<change> mHistory;
  };

  static string ToText(const string& aName, const object& aObject)
  {
    return "{\"metadata\":{\"name\":" + json::serialize(json::value(aName)) +
           ",\"revision\":" + std::to_string(aObject.mRevision) +
           ",\"created\":" + std::to_string(aObject.mCreated) +
           ",\"finalizers\":" + aObject.mFinalizers +
           ",\"deletionPending\":false},\"specification\":" +
           aObject.mSpecification + ",\"status\":" + aObject.mStatus + "}";
  }

  void Serve(connection& aPeer)
  {
    for (;;) {
      message request;
      if (!aPeer.Read(request, 60)) {
        return;
      }
      Sleep(0.002);
      std::unique_lock lock(mMutex);
      if (mIsAway) {
        return;
      }
      const bool is_write = request.mMethod != "GET";
      if (is_write && Chance(mLateWrites)) {
        lock.unlock();
        std::thread([this, request] {
          Sleep(1 + (mNextChance * 7 % 50) / 10.0);
          std::unique_lock late(mMutex);
          connection none(-1);
          Answer(request, late, none);
        }).detach();
        Sleep(3);
        return;
      }
      const auto answer = Answer(request, lock, aPeer);
      if (!answer || (is_write && Chance(mLostAnswers))) {
        return;
      }
      const string era = "Store-Era: " + std::to_string(mEra) +
                         "\r\nContent-Type: application/json\r\n";
      lock.unlock();
      if (!aPeer.Send(Response(answer->first, era, answer->second)) ||
          request.Field("Connection") == "close") {
        return;
      }
    }
  }

  bool Chance(double aShare)
  {
    const unsigned drawn = mNextChance++ * 2654435761u;
    return aShare > 0 && (drawn >> 8) % 10000 < aShare * 10000;
  }

  using answer = std::pair<int, string>;

  // Nothing if the call gets no response.
  std::optional<answer> Answer(const message& aRequest,
                               std::unique_lock<std::mutex>& aLock,
                               const connection& aPeer)
  {
    const string prefix = "/api/objects/";
    const string path = aRequest.Path();
    if (path.rfind(prefix, 0) != 0) {
      return answer{ 404, "{}" };
    }
    string kind = path.substr(prefix.size());
    string name;
    if (const auto slash = kind.find('/'); slash != string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    if (aRequest.mMethod == "GET" && name.empty()) {
      return aRequest.Query("watch").empty() ? List(kind, aRequest.Query("after"))
                                             : Watch(kind, aRequest, aLock, aPeer);
    }
    auto& objects = mState.mKinds[kind];
    if (aRequest.mMethod == "GET") {
      const auto found = objects.find(name);
      return found == objects.end() ? answer{ 404, "{}" }
                                    : answer{ 200, ToText(name, found->second) };
    }
    return Write(kind, name, aRequest, objects);
  }

  answer List(const string& aKind, const string& aAfter)
  {
    string items;
    for (const auto& [name, one] : mState.mKinds[aKind]) {
      if (name > aAfter) {
        items += (items.empty() ? "" : ",") + ToText(name, one);
      }
    }
    return { 200,
             "{\"items\":[" + items + "],\"hasMore\":false,\"atRevision\":" +
               std::to_string(mState.mRevision) + "}" };
  }

  std::optional<answer> Watch(const string& aKind,
                              const message& aRequest,
                              std::unique_lock<std::mutex>& aLock,
                              const connection& aPeer)
  {
    const std::int64_t after = std::atoll(aRequest.Query("watch").c_str());
    const double until = Now() + std::atoll(aRequest.Query("waitMs").c_str()) / 1e3;
    const std::int64_t cut = mCut;
    for (;;) {
      if (mCut != cut) {
        return std::nullopt;
      }
      if (after < mState.mHistoryFrom || after > mState.mRevision) {
        return answer{ 410, "{}" };
      }
      string events;
      for (const change& one : mState.mHistory) {
        if (one.mRevision > after && one.mKind == aKind) {
          const object& target = mState.mKinds[aKind][one.mName];
          events += string(events.empty() ? "" : ",") +
                    "{\"object\":" + ToText(one.mName, target) +
                    ",\"deleted\":" + (one.mIsDeleted ? "true" : "false") + "}";
        }
      }
      if (!events.empty() || Now() >= until || aPeer.PeerHasClosed()) {
        return answer{ 200,
                       "{\"events\":[" + events + "],\"atRevision\":" +
                         std::to_string(mState.mRevision) + "}" };
      }
      mChanged.wait_for(aLock, std::chrono::milliseconds(20));
    }
  }

  answer Write(const string& aKind,
               string aName,
               const message& aRequest,
               std::map<string, object>& aObjects)
  {
    boost::system::error_code error;
    const json::value body = json::parse(aRequest.mBody, error);
    if (error || !body.is_object()) {
      return { 400, "{}" };
    }
    const json::object* metadata = nullptr;
    if (const auto* member = body.as_object().if_contains("metadata")) {
      metadata = member->if_object();
    }
    const bool is_new = aRequest.mMethod == "POST";
    if (is_new && metadata != nullptr) {
      aName = metadata->at("name").as_string();
    }
    const auto found = aObjects.find(aName);
    if (is_new && found != aObjects.end()) {
      return { 409, ToText(aName, found->second) };
    }
    if (!is_new && found == aObjects.end()) {
      return { 404, "{}" };
    }
    if (metadata != nullptr && metadata->contains("revision") && !is_new &&
        metadata->at("revision").to_number<std::int64_t>() !=
          found->second.mRevision) {
      return { 409, ToText(aName, found->second) };
    }
    object& target = aObjects[aName];
    string specification = "null";
    if (const auto* member = body.as_object().if_contains("specification")) {
      specification = json::serialize(*member);
    }
    if (!is_new && specification == target.mSpecification) {
      return { 200, ToText(aName, target) };
    }
    target.mSpecification = specification;
    target.mRevision = ++mState.mRevision;
    target.mCreated = target.mCreated == 0 ? mState.mRevision : target.mCreated;
    mState.mHistory.push_back({ mState.mRevision, aKind, aName, false });
    mChanged.notify_all();
    if (mLogsWrites) {
      Note("store: " + std::to_string(mState.mRevision) + " " + aName + " " +
           specification.substr(0, 300));
    }
    return { is_new ? 201 : 200, ToText(aName, target) };
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  state mState, mCopy;
  std::int64_t mEra;
  std::int64_t mCut = 0;
  bool mIsAway = false;
  std::atomic<unsigned> mNextChance = 1;
  listener mListener;
};

// --------------------------------------------------------------- backend servers

constexpr int kKeys = 65536;

// What the servers of one service were given and have begun to run, by key.
class key_history
{
public:
  struct grant
  {
    double mAt, mUntil;
    int mServer;
    std::int64_t mFence;
  };
  struct run
  {
    double mAt;
    int mServer;
  };

  void OnGrant(int aServer, int aFrom, int aTo, std::int64_t aFence, double aUntil)
  {
    std::lock_guard lock(mMutex);
    for (int key = aFrom; key <= aTo; ++key) {
      mGrants[key].push_back({ Now(), aUntil, aServer, aFence });
    }
  }
  // Ends what the server holds of the keys.
  void OnEnd(int aServer, int aFrom, int aTo)
  {
    std::lock_guard lock(mMutex);
    for (int key = aFrom; key <= aTo; ++key) {
      for (grant& one : mGrants[key]) {
        if (one.mServer == aServer) {
          one.mUntil = std::min(one.mUntil, Now());
        }
      }
    }
  }
  void OnRun(int aServer, int aKey, const string& aId)
  {
    std::lock_guard lock(mMutex);
    mRuns[aKey].push_back({ Now(), aServer });
    ++mRunsOfId[aId];
    mServerOfId[aId] = aServer;
  }
  // The server that ran the attempt last; 0: none.
  int ServerOf(const string& aId)
  {
    std::lock_guard lock(mMutex);
    const auto found = mServerOfId.find(aId);
    return found == mServerOfId.end() ? 0 : found->second;
  }
  int RunsOf(const string& aId)
  {
    std::lock_guard lock(mMutex);
    const auto found = mRunsOfId.find(aId);
    return found == mRunsOfId.end() ? 0 : found->second;
  }
  const std::vector<grant>& Grants(int aKey) { return mGrants[aKey]; }
  const std::vector<run>& Runs(int aKey) { return mRuns[aKey]; }

private:
  std::mutex mMutex;
  std::vector<std::vector<grant>> mGrants{ kKeys };
  std::vector<std::vector<run>> mRuns{ kKeys };
  std::map<string, int> mRunsOfId, mServerOfId; // by attempt id
};

// What breaks the rule OWNER.
struct owner_findings
{
  int mStaleFences = 0; // keys taken with a token that isn't above all others
  int mBothRun = 0;     // keys held twice, with requests begun at both servers
  int mHeldTwice = 0;   // keys held twice for over half a second

  bool IsBroken() const { return mStaleFences + mBothRun + mHeldTwice > 0; }
  string ToText() const
  {
    return "OWNER: " + std::to_string(mStaleFences) +
           " keys taken with a fencing token that isn't above all with which "
           "other servers had them, " +
           std::to_string(mBothRun) + " held by two servers that both begin requests, " +
           std::to_string(mHeldTwice) + " held by two for over 0.5 s";
  }
};

inline owner_findings CheckOwners(key_history& aKeys)
{
  constexpr int kMostNotes = 10; // of each kind
  owner_findings found;
  for (int key = 0; key < kKeys; ++key) {
    std::map<int, std::int64_t> highest; // token, by server
    std::map<int, std::vector<std::pair<double, double>>> held;
    bool is_stale = false;
    for (const auto& grant : aKeys.Grants(key)) {
      const bool is_taken = highest[grant.mServer] < grant.mFence;
      for (const auto& [other, fence] : highest) {
        if (is_taken && other != grant.mServer && fence >= grant.mFence) {
          is_stale = true;
          if (found.mStaleFences < kMostNotes) {
            Note("OWNER: key " + std::to_string(key) + " is taken at " +
                 std::to_string(grant.mAt) + " by server " +
                 std::to_string(grant.mServer) + " with fence " +
                 std::to_string(grant.mFence) + "; server " + std::to_string(other) +
                 " had it with " + std::to_string(fence));
          }
        }
      }
      highest[grant.mServer] = std::max(highest[grant.mServer], grant.mFence);
      auto& spans = held[grant.mServer];
      if (!spans.empty() && grant.mAt <= spans.back().second) {
        spans.back().second = std::max(spans.back().second, grant.mUntil);
      } else {
        spans.emplace_back(grant.mAt, grant.mUntil);
      }
    }
    found.mStaleFences += is_stale ? 1 : 0;
    bool both_run = false, is_long = false;
    for (const auto& [one, one_spans] : held) {
      for (const auto& [other, other_spans] : held) {
        for (const auto& one_span : one_spans) {
          for (const auto& other_span : other_spans) {
            const double from = std::max(one_span.first, other_span.first);
            const double to = std::min(one_span.second, other_span.second);
            if (one >= other || from >= to) {
              continue;
            }
            bool one_runs = false, other_runs = false;
            for (const auto& run : aKeys.Runs(key)) {
              const bool is_then = run.mAt >= from && run.mAt <= to;
              one_runs |= is_then && run.mServer == one;
              other_runs |= is_then && run.mServer == other;
            }
            both_run |= one_runs && other_runs;
            is_long |= to - from > 0.5;
            if ((both_run && found.mBothRun < kMostNotes) ||
                (is_long && found.mHeldTwice < kMostNotes)) {
              Note("OWNER: key " + std::to_string(key) + " is held by servers " +
                   std::to_string(one) + " and " + std::to_string(other) + " from " +
                   std::to_string(from) + " to " + std::to_string(to) +
                   (one_runs && other_runs ? ", both begin requests on it" : ""));
            }
          }
        }
      }
    }
    found.mBothRun += both_run ? 1 : 0;
    found.mHeldTwice += is_long ? 1 : 0;
  }
  return found;
}

struct server_settings
{
  int mNumber = 0; // among all servers, for the record
  string mService, mZone, mAddress, mControl;
  int mSlots = 6;
  bool mIsSharded = false;
  double mWork = 0.05;      // seconds a request takes
  std::size_t mAnswerBytes = 400;
};

// A backend server of PROTOCOL.md.
class server
{
public:
  server(server_settings aSettings, key_history& aKeys)
    : mSettings(std::move(aSettings))
    , mKeys(aKeys)
    , mBorn(UnixMs())
    , mId("i-" + mSettings.mService + "-" + std::to_string(mSettings.mNumber))
  {
    Listen();
    std::thread([this] { Report(); }).detach();
  }
  // The process ends; what it held and ran is gone.
  void Crash()
  {
    Note("server " + std::to_string(mSettings.mNumber) + ": crashes");
    mIsUp = false;
    ++mLife;
    mListener.reset();
    std::lock_guard lock(mMutex);
    mHeld.assign(kKeys, {});
    mKeys.OnEnd(mSettings.mNumber, 0, kKeys - 1);
  }
  // Starts again, with a new id.
  void Restart()
  {
    mBorn = UnixMs();
    mId = "i-" + mSettings.mService + "-" + std::to_string(mSettings.mNumber) + "-" +
          std::to_string(mLife);
    Note("server " + std::to_string(mSettings.mNumber) + ": starts as " + mId);
    Listen();
    mIsUp = true;
  }
  bool IsUp() const { return mIsUp; }
  // Parts of the answers to requests and orders that are lost, and of orders
  // that are carried out 2 to 12 s later without an answer.
  std::atomic<double> mLostAnswers = 0, mLateOrders = 0;
  // Part of the answers to requests that are broken off.
  std::atomic<double> mBrokenAnswers = 0;
  int BrokenAnswers() const { return mBroken; }
  const string& Id() const { return mId; }
  int Number() const { return mSettings.mNumber; }
  // From now on it reports that it is draining.
  void Drain() { mIsDraining = true; }
  // No more reports, and no more answers.
  void End() { mHasEnded = true; }
  // Whether the control address has confirmed a report with `draining`.
  bool IsDrainConfirmed() const { return mIsDrainConfirmed; }

private:
  void Listen()
  {
    mListener = std::make_unique<listener>(
      mSettings.mAddress, [this](connection& aPeer) { Serve(aPeer); });
  }
  static bool Chance(double aShare)
  {
    static std::atomic<unsigned> next = 1;
    const unsigned drawn = next++ * 2654435761u;
    return aShare > 0 && (drawn >> 8) % 10000 < aShare * 10000;
  }

  void Report()
  {
    std::int64_t sequence = 0;
    int life = 0;
    while (!mHasEnded) {
      if (!mIsUp) {
        Sleep(0.05);
        continue;
      }
      sequence = life == mLife ? sequence : 0;
      life = mLife;
      const bool is_draining = mIsDraining;
      const string body =
        json::serialize(json::object{ { "service", mSettings.mService },
                                      { "address", mSettings.mAddress },
                                      { "zone", mSettings.mZone },
                                      { "version", "v1" },
                                      { "slots", mSettings.mSlots },
                                      { "state", is_draining ? "draining" : "ready" },
                                      { "coldRemaining", "0ms" },
                                      { "seq", ++sequence },
                                      { "born", mBorn } });
      const message answer = Call(mSettings.mControl,
                                  "PUT",
                                  "/api/instances/" + mId,
                                  "Host: control\r\nContent-Type: application/json\r\n",
                                  body,
                                  1.0);
      if (answer.mStatus / 100 == 2 && is_draining) {
        mIsDrainConfirmed = true;
      }
      Sleep(0.5);
    }
  }

  void Serve(connection& aPeer)
  {
    const int life = mLife;
    for (;;) {
      message request;
      if (!aPeer.Read(request, 10) || mHasEnded || life != mLife) {
        return;
      }
      const bool is_order = request.Path().rfind("/api/", 0) == 0;
      if (is_order && Chance(mLateOrders)) {
        std::thread([this, request, life, arrived = Now()] {
          Sleep(2 + (arrived - static_cast<int>(arrived)) * 10);
          if (life == mLife) {
            Answer(request, arrived);
          }
        }).detach();
        Sleep(5);
        return;
      }
      const string answer = Answer(request, Now());
      if (life != mLife) {
        return;
      }
      if (Chance(mLostAnswers)) {
        aPeer.Reset();
        return;
      }
      if (!is_order && answer.rfind("HTTP/1.1 200", 0) == 0 &&
          Chance(mBrokenAnswers)) {
        ++mBroken;
        Note("server " + std::to_string(mSettings.mNumber) + ": breaks off " +
             request.Field("X-Plantaindale-Attempt-Id"));
        aPeer.Send(answer.substr(0, answer.size() / 2));
        Sleep(0.02);
        aPeer.Reset();
        return;
      }
      if (!aPeer.Send(answer)) {
        return;
      }
      if (request.Field("Connection") == "close") {
        return;
      }
    }
  }

  string Answer(const message& aRequest, double aArrived)
  {
    const string path = aRequest.Path();
    if (path == "/api/grant" || path == "/api/release") {
      const json::value body = json::parse(aRequest.mBody);
      const int from = body.at("from").to_number<int>();
      const int to = body.at("to").to_number<int>();
      const auto fence = body.at("fence").to_number<std::int64_t>();
      return path == "/api/grant"
               ? Grant(from,
                       to,
                       fence,
                       json::value_to<string>(body.at("hold_time")),
                       aArrived)
               : Release(from, to);
    }
    if (path == "/health") {
      return Response(mIsDraining ? 503 : 200,
                      "X-Plantaindale-Instance-Id: " + mId + "\r\n",
                      "");
    }
    return Run(aRequest);
  }

  string Grant(int aFrom,
               int aTo,
               std::int64_t aFence,
               const string& aHold,
               double aArrived)
  {
    const double scale = aHold.find("ms") != string::npos ? 1e-3 : 1;
    const double until = aArrived + std::atof(aHold.c_str()) * scale;
    std::lock_guard lock(mMutex);
    for (int key = aFrom; key <= aTo; ++key) {
      if (mHeld[key].mFence > aFence) {
        Note("server " + std::to_string(mSettings.mNumber) + ": refuses grant " +
             std::to_string(aFrom) + "-" + std::to_string(aTo) + " fence " +
             std::to_string(aFence) + ", has seen " +
             std::to_string(mHeld[key].mFence));
        return Response(409, "", "");
      }
    }
    const bool is_renewal = mHeld[aFrom].mFence == aFence;
    for (int key = aFrom; key <= aTo; ++key) {
      mHeld[key] = { aFence, until };
    }
    if (until > Now()) {
      mKeys.OnGrant(mSettings.mNumber, aFrom, aTo, aFence, until);
    }
    if (!is_renewal) {
      Note("server " + std::to_string(mSettings.mNumber) + ": takes " +
           std::to_string(aFrom) + "-" + std::to_string(aTo) + " fence " +
           std::to_string(aFence) + " hold " + aHold);
    }
    return Response(200, "", "");
  }

  string Release(int aFrom, int aTo)
  {
    std::unique_lock lock(mMutex);
    for (int key = aFrom; key <= aTo; ++key) {
      mHeld[key].mUntil = 0;
    }
    mWorkEnded.wait(lock, [&] {
      const auto next = mRunning.lower_bound(aFrom);
      return next == mRunning.end() || *next > aTo;
    });
    mKeys.OnEnd(mSettings.mNumber, aFrom, aTo);
    Note("server " + std::to_string(mSettings.mNumber) + ": releases " +
         std::to_string(aFrom) + "-" + std::to_string(aTo));
    return Response(200, "X-Plantaindale-Handover: 5c0e7a21d94b36f8\r\n", "");
  }

  string Run(const message& aRequest)
  {
    const string id = aRequest.Field("X-Plantaindale-Attempt-Id");
    const string echo = "X-Plantaindale-Attempt-Id: " + id + "\r\n";
    const string expected = aRequest.Field("X-Plantaindale-Expected-Instance");
    if (!expected.empty() && expected != mId) {
      return Response(421, echo + "X-Plantaindale-Instance-Id: " + mId + "\r\n", "");
    }
    const int key = std::atoi(aRequest.Field("X-Plantaindale-Shard-Key").c_str());
    {
      std::lock_guard lock(mMutex);
      if (mSettings.mIsSharded && mHeld[key].mUntil <= Now()) {
        return Response(421, echo + "X-Plantaindale-Not-Executed: 1\r\n", "");
      }
      if (static_cast<int>(mRunning.size()) >= mSettings.mSlots) {
        return Response(503, echo + "X-Plantaindale-Not-Executed: 1\r\n", "");
      }
      mRunning.insert(key);
    }
    mKeys.OnRun(mSettings.mNumber, key, id);
    Note("server " + std::to_string(mSettings.mNumber) + ": runs " + id + " key " +
         std::to_string(key));
    Sleep(mSettings.mWork);
    {
      std::lock_guard lock(mMutex);
      mRunning.erase(mRunning.find(key));
    }
    mWorkEnded.notify_all();
    return Response(200,
                    echo + "X-Plantaindale-Server-Signature: " + mId + "." + id +
                      "\r\n",
                    mId + " " + id + " " + string(mSettings.mAnswerBytes, 'n') + "\n");
  }

  struct held
  {
    std::int64_t mFence = 0;
    double mUntil = 0;
  };

  server_settings mSettings;
  key_history& mKeys;
  std::int64_t mBorn;
  string mId;
  std::atomic<bool> mIsUp = true;
  std::atomic<int> mLife = 0, mBroken = 0;
  std::atomic<bool> mIsDraining = false, mHasEnded = false, mIsDrainConfirmed = false;
  std::mutex mMutex;
  std::condition_variable mWorkEnded;
  std::vector<held> mHeld{ kKeys };
  std::multiset<int> mRunning; // keys of requests
  std::unique_ptr<listener> mListener;
};

// --------------------------------------------------------------- node processes

inline string ReadFile(const string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void ReplaceAll(string& aText, const string& aFrom, const string& aTo)
{
  for (std::size_t at = 0; (at = aText.find(aFrom, at)) != string::npos;) {
    aText.replace(at, aFrom.size(), aTo);
    at += aTo.size();
  }
}

// A loopback address for machine `aNumber`, different for each run.
inline string MachineAddress(int aNumber)
{
  static const int run = 1 + getpid() % 250;
  return "127.77." + std::to_string(run) + "." + std::to_string(10 + aNumber);
}

class node
{
public:
  // aMost: the values of the settings that are the same for all nodes.
  node(int aNumber,
       string aZone,
       string aService,
       const string& aPlatform,
       const string& aFolder)
    : mNumber(aNumber)
    , mAddress(MachineAddress(aNumber))
    , mSettings(aFolder + "/node" + std::to_string(aNumber) + ".yaml")
    , mLog(aFolder + "/node" + std::to_string(aNumber) + ".log")
  {
    string text = ReadFile("deploy/node.yaml.tmpl");
    if (text.empty()) {
      CantRun("deploy/node.yaml.tmpl can't be read");
    }
    const auto section = text.find("{{#bounds.evacuation}}");
    const string section_end = "{{/bounds.evacuation}}";
    const auto end = text.find(section_end);
    if (section != string::npos && end != string::npos) {
      text.erase(section, end + section_end.size() - section);
    }
    const std::map<string, string> values{
      { "nodeName", "sidecar-" + aZone + "-" + std::to_string(aNumber) },
      { "region", "khangai" },
      { "zone", aZone },
      { "limits.cpuShare", "0.2" },
      { "platform.address", aPlatform },
      { "listenAddresses.outbound", Outbound() },
      { "listenAddresses.inbound", mAddress + ":8300" },
      { "listenAddresses.ready", Ready() },
      { "listenAddresses.control", Control() },
      { "ipAddress", mAddress },
      { "internalPortRange.0", "7620" },
      { "service", aService },
      { "applicationAddress", Application() },
      { "bounds.drainTimeout", "2000ms" },
      { "bounds.gracePeriod", "6s" },
      { "bounds.retryBudgetSlack", "64" },
    };
    for (const auto& [name, value] : values) {
      ReplaceAll(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != string::npos) {
      CantRun("the settings template has fields that this case doesn't know");
    }
    std::ofstream(mSettings) << text;
  }
  ~node()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
  }

  string Outbound() const { return mAddress + ":8304"; }
  string Ready() const { return mAddress + ":8302"; }
  string Control() const { return mAddress + ":8306"; }
  string Application() const { return mAddress + ":8301"; }
  int Pid() const { return mPid; }
  int Number() const { return mNumber; }

  // With the `run` line of deploy/system.toml.
  void Start()
  {
    Note("node " + std::to_string(mNumber) + ": start");
    const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // if the case is cut off
      dup2(log, 1);
      dup2(log, 2);
      setenv("PLANTAINDALE_NODE_FILE", mSettings.c_str(), 1);
      execl("target/plantaindale",
            "target/plantaindale",
            "serve",
            "--settings",
            mSettings.c_str(),
            nullptr);
      _exit(127);
    }
    close(log);
  }
  void Signal(int aSignal)
  {
    Note("node " + std::to_string(mNumber) + ": signal " + std::to_string(aSignal));
    kill(mPid, aSignal);
  }
  // SIGKILL, and waits for the end.
  void Kill()
  {
    Signal(SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = 0;
  }
  // SIGTERM, and SIGKILL after the grace period, as the platform does.
  void Stop()
  {
    Signal(SIGTERM);
    const double until = Now() + 6;
    while (Now() < until) {
      int status = 0;
      if (waitpid(mPid, &status, WNOHANG) == mPid) {
        Note("node " + std::to_string(mNumber) + ": exited, status " +
             std::to_string(status));
        mPid = 0;
        return;
      }
      Sleep(0.02);
    }
    Kill();
  }
  // Whether the process has ended by itself.
  bool HasEnded()
  {
    return mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid ? (mPid = 0, true)
                                                               : false;
  }
  bool IsReady() const
  {
    return Call(Ready(), "GET", "/api/readiness", "Host: ready\r\n", "", 1).mStatus ==
           200;
  }

private:
  int mNumber;
  string mAddress, mSettings, mLog;
  int mPid = 0;
};

// ------------------------------------------------------------------ the operator

// A configuration with one sharded service and any number of others. A route
// has the path /SERVICE/KIND/ and the kind of its name.
inline json::value Configuration(int aVersion,
                                 const string& aSharded,
                                 const std::vector<string>& aOthers)
{
  json::object services, routes;
  const auto add = [&](const string& aService, bool aIsSharded) {
    json::object service{ { "healthCheckPath", "/health" },
                          { "maxConnections", 130 },
                          { "protocol", "h1" },
                          { "tls", false } };
    if (aIsSharded) {
      service["sharded"] = true;
      service["warmup"] = "2s";
      service["grants"] = "call";
    }
    services[aService] = std::move(service);
    for (const string kind : { "safe", "unsafe", "upload", "download" }) {
      routes["r-" + aService + "-" + kind] = { { "host", "notices.example" },
                                               { "pathPrefix",
                                                 "/" + aService + "/" + kind + "/" },
                                               { "kind", kind },
                                               { "timeout", "2000ms" },
                                               { "targetLatency", "500ms" },
                                               { "priority", 1 },
                                               { "service", aService },
                                               { "maxAttempts", 2 } };
    }
  };
  add(aSharded, true);
  for (const string& other : aOthers) {
    add(other, false);
  }
  return json::object{ { "version", "r" + std::to_string(aVersion) },
                       { "routes", std::move(routes) },
                       { "services", std::move(services) },
                       { "limits",
                         { { "maxHeaderBytes", 16384 },
                           { "maxBodyBytes", 67108864 },
                           { "headerTimeout", "3000ms" },
                           { "idleTimeout", "15000ms" } } } };
}

// ------------------------------------------------------------------------ clients

inline string NextAttemptId()
{
  static std::atomic<std::uint64_t> next = 0x9c41d07be2a30000;
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

// Sends one request with a key to a node and returns the answer.
inline message Ask(const node& aNode,
                   const string& aService,
                   const string& aKind,
                   int aKey,
                   const string& aBody = "",
                   const string& aId = "",
                   const string& aFields = "")
{
  const string id = aId.empty() ? NextAttemptId() : aId;
  const bool is_safe = aKind == "safe";
  return Call(aNode.Outbound(),
              is_safe ? "GET" : "POST",
              "/" + aService + "/" + aKind + "/" + std::to_string(aKey),
              "Host: notices.example\r\nX-Plantaindale-Attempt-Id: " + id +
                "\r\nX-Plantaindale-Deadline-Remaining-Ms: 1500\r\n"
                "X-Plantaindale-Shard-Key: " +
                std::to_string(aKey) + "\r\n" + aFields,
              aBody,
              1.6);
}

// -------------------------------------------------------------------------- cases

inline std::vector<std::unique_ptr<node>>* gNodes = nullptr;

inline void KillNodes()
{
  if (gNodes != nullptr) {
    for (auto& one : *gNodes) {
      if (one->Pid() > 0) {
        kill(one->Pid(), SIGKILL);
        waitpid(one->Pid(), nullptr, 0);
      }
    }
  }
}

[[noreturn]] inline void Finish(int aCode, const string& aWhy)
{
  Note("result: " + std::to_string(aCode) + " " + aWhy);
  std::cout << aWhy << "\n" << std::flush;
  KillNodes();
  std::_Exit(aCode);
}

[[noreturn]] inline void CantRun(const string& aWhy)
{
  Finish(2, "can't run: " + aWhy);
}

inline bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || string(trouble) != "0";
}

// Waits until the condition holds; exits with 2 if it doesn't in time.
inline void Await(const string& aWhat, double aSeconds, const std::function<bool()>& aCondition)
{
  const double until = Now() + aSeconds;
  while (!aCondition()) {
    if (Now() >= until) {
      CantRun("waited in vain for " + aWhat);
    }
    Sleep(0.05);
  }
}

} // namespace rig
