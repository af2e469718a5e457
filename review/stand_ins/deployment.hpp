// A small deployment on loopback addresses: the platform's store, nodes as
// processes of their own, and backend servers, whose behaviour a case gives.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "wire.hpp"

namespace review {

// record.txt: one line for each thing that was sent, answered or run.
class record
{
public:
  explicit record(const std::string& aFile)
    : mFile(aFile)
  {
  }
  void Write(const std::string& aLine)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", Seconds());
    mFile << time << aLine << std::endl;
  }
  double Seconds() const
  {
    return std::chrono::duration<double>(steady::now() - mBegan).count();
  }

private:
  std::ofstream mFile;
  std::mutex mMutex;
  steady::time_point mBegan = steady::now();
};

// The platform's metadata store, as PROTOCOL.md tells it.
class store
{
public:
  explicit store(int aPort)
    : mListener(aPort, [this](connection& aMade) { Serve(aMade); })
  {
  }

  // The operator's write; the return is the confirmation.
  void PutConfiguration(const std::string& aSpecification)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    Put("config", "main", aSpecification);
  }
  // Silent: reads calls and answers none; they have no effect.
  void SetSilent(bool aIsSilent)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mIsSilent = aIsSilent;
    ++mSilences;
    mChanged.notify_all();
  }
  // This share of the writes gets no answer and is carried out 1 to 6 s later,
  // if its condition still holds.
  void SetLateWrites(double aShare)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLateWrites = aShare;
  }
  // Calls over the connections that are open now get no answers any more and
  // have no effect; new connections work.
  void SilenceOpenConnections()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ++mSilences;
    mChanged.notify_all();
  }
  std::string Find(const std::string& aKind, const std::string& aName)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mObjects.find({ aKind, aName });
    return found == mObjects.end() ? "" : found->second.mSpecification;
  }

private:
  using path = std::pair<std::string, std::string>; // kind and name

  struct object
  {
    std::string mSpecification;
    long mRevision = 0;
    long mCreated = 0;
  };
  struct change
  {
    long mRevision;
    std::string mKind;
    std::string mText;
  };

  static std::string Text(const std::string& aName, const object& aObject)
  {
    return "{\"metadata\":{\"name\":\"" + aName +
           "\",\"revision\":" + std::to_string(aObject.mRevision) +
           ",\"created\":" + std::to_string(aObject.mCreated) +
           ",\"finalizers\":[],\"deletionPending\":false},\"specification\":" +
           aObject.mSpecification + ",\"status\":null}";
  }

  void Put(const std::string& aKind,
           const std::string& aName,
           const std::string& aSpecification)
  {
    object& kept = mObjects[{ aKind, aName }];
    if (kept.mRevision > 0 && kept.mSpecification == aSpecification) {
      return; // changes nothing
    }
    kept.mSpecification = aSpecification;
    kept.mRevision = ++mRevision;
    kept.mCreated = kept.mCreated == 0 ? mRevision : kept.mCreated;
    mChanges.push_back({ mRevision, aKind, Text(aName, kept) });
    mChanged.notify_all();
  }

  static std::string Answer(int aStatus, const std::string& aBody)
  {
    return "HTTP/1.1 " + std::to_string(aStatus) +
           " Status\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  void Serve(connection& aMade)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    const int silences = mSilences;
    lock.unlock();
    while (auto request = aMade.Receive(std::chrono::minutes(5))) {
      std::this_thread::sleep_for(milliseconds(4));
      lock.lock();
      if (request->Method() != "GET" && IsLate()) {
        const milliseconds after(
          std::uniform_int_distribution<int>(1000, 6000)(mRandom));
        std::thread([this, late = *request, after] {
          std::this_thread::sleep_for(after);
          std::unique_lock<std::mutex> held(mMutex);
          Handle(late, mSilences, held);
        }).detach();
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::minutes(3));
        return; // the connection returns nothing further
      }
      const std::string answer = mIsSilent || silences != mSilences
                                   ? ""
                                   : Handle(*request, silences, lock);
      const bool is_silent = mIsSilent || silences != mSilences;
      lock.unlock();
      if (is_silent) {
        std::this_thread::sleep_for(std::chrono::minutes(3));
        return;
      }
      if (!aMade.Send(answer) || request->Field("connection") == "close") {
        return;
      }
    }
  }

  bool IsLate()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom) < mLateWrites;
  }

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t begin = aTarget.find(aName + "=");
    if (begin == std::string::npos) {
      return "";
    }
    const std::size_t value = begin + aName.size() + 1;
    return aTarget.substr(value, aTarget.find('&', value) - value);
  }

  std::string Handle(const message& aRequest,
                     int aSilences,
                     std::unique_lock<std::mutex>& aLock)
  {
    const std::string prefix = "/api/objects/";
    const std::string target = aRequest.Target();
    const std::string whole = target.substr(0, target.find('?'));
    if (whole.rfind(prefix, 0) != 0) {
      return Answer(404, "{}");
    }
    const std::string rest = whole.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (aRequest.Method() == "GET" && name.empty()) {
      const std::string watched = Query(target, "watch");
      return watched.empty()
               ? List(kind)
               : Watch(kind,
                       std::stol(watched),
                       milliseconds(std::stol(Query(target, "waitMs"))),
                       aSilences,
                       aLock);
    }
    if (aRequest.Method() == "GET") {
      const auto found = mObjects.find({ kind, name });
      return found == mObjects.end() ? Answer(404, "{}")
                                     : Answer(200, Text(name, found->second));
    }
    return Write(aRequest, kind, name);
  }

  std::string List(const std::string& aKind)
  {
    std::string items;
    for (const auto& [at, kept] : mObjects) {
      if (at.first == aKind) {
        items += (items.empty() ? "" : ",") + Text(at.second, kept);
      }
    }
    return Answer(200,
                  "{\"items\":[" + items + "],\"hasMore\":false,\"atRevision\":" +
                    std::to_string(mRevision) + "}");
  }

  std::string Watch(const std::string& aKind,
                    long aAfter,
                    milliseconds aTime,
                    int aSilences,
                    std::unique_lock<std::mutex>& aLock)
  {
    const auto until = steady::now() + aTime;
    for (;;) {
      std::string events;
      for (const change& made : mChanges) {
        if (made.mRevision > aAfter && made.mKind == aKind) {
          events += (events.empty() ? "" : ",") +
                    ("{\"object\":" + made.mText + ",\"deleted\":false}");
        }
      }
      if (!events.empty() || steady::now() >= until ||
          aSilences != mSilences) {
        return Answer(200,
                      "{\"events\":[" + events + "],\"atRevision\":" +
                        std::to_string(mRevision) + "}");
      }
      mChanged.wait_until(aLock, until);
    }
  }

  // The bodies of the nodes: {"metadata":{..},"specification":..}.
  std::string Write(const message& aRequest,
                    const std::string& aKind,
                    std::string aName)
  {
    const std::string& body = aRequest.mBody;
    const std::string mark = "\"specification\":";
    const std::size_t begin = body.find(mark);
    if (begin == std::string::npos) {
      return Answer(400, "{}");
    }
    const std::string metadata = body.substr(0, begin);
    const std::string specification =
      body.substr(begin + mark.size(), body.size() - begin - mark.size() - 1);
    const std::size_t given = metadata.find("\"revision\":");
    const long base = given == std::string::npos
                        ? 0
                        : std::stol(metadata.substr(given + 11));
    if (aRequest.Method() == "POST") {
      const std::size_t named = metadata.find("\"name\":\"") + 8;
      aName = metadata.substr(named, metadata.find('"', named) - named);
    }
    const auto found = mObjects.find({ aKind, aName });
    const bool exists = found != mObjects.end();
    if (aRequest.Method() == "PUT" && !exists) {
      return Answer(404, "{}");
    }
    const bool conflicts = aRequest.Method() == "POST"
                             ? exists
                             : base > 0 && base != found->second.mRevision;
    if (conflicts) {
      return Answer(409, Text(aName, found->second));
    }
    Put(aKind, aName, specification);
    return Answer(200, Text(aName, mObjects[{ aKind, aName }]));
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<path, object> mObjects;
  std::vector<change> mChanges;
  long mRevision = 1;
  double mLateWrites = 0;
  std::mt19937 mRandom{ std::random_device{}() };
  bool mIsSilent = false;
  int mSilences = 0; // connections of before it rose get no answers
  listener mListener; // the last member: its threads use the others
};

// One machine: the ports of its node and of its server.
struct machine
{
  std::string mName;
  std::string mZone;
  std::string mService;
  int mCaller = FreePort();
  int mPeer = FreePort();
  int mControl = FreePort();
  int mAdmin = FreePort();
  int mReady = FreePort();
  int mMetrics = FreePort();
  int mServer = FreePort();
};

inline std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// The settings of deploy/node.yaml.tmpl with the values of a machine.
inline std::string
Settings(const machine& aMachine, int aStorePort)
{
  const auto at = [](int aPort) { return "127.0.0.1:" + std::to_string(aPort); };
  std::map<std::string, std::string> values{
    { "nodeName", aMachine.mName },
    { "region", "region-1" },
    { "zone", aMachine.mZone },
    { "limits.cpuShare", "0.2" },
    { "platform.address", at(aStorePort) },
    { "listenAddresses.outbound", at(aMachine.mCaller) },
    { "listenAddresses.inbound", at(aMachine.mPeer) },
    { "listenAddresses.control", at(aMachine.mAdmin) },
    { "listenAddresses.ready", at(aMachine.mReady) },
    { "service", aMachine.mService },
    { "applicationAddress", at(aMachine.mServer) },
    { "bounds.drainTimeout", "2000ms" },
    { "bounds.gracePeriod", "6s" },
    { "bounds.retryBudgetSlack", "58" },
    // Ports of the machine's range; the template names fixed ones.
    { "internalPortRange.0", std::to_string(aMachine.mControl) },
    { "ipAddress", "127.0.0.1" },
  };
  std::string text = ReadFile("deploy/node.yaml.tmpl");
  for (const auto& [name, value] : values) {
    const std::string mark = "{{" + name + "}}";
    for (std::size_t place = 0;
         (place = text.find(mark, place)) != std::string::npos;
         place += value.size()) {
      text.replace(place, mark.size(), value);
    }
  }
  const std::string metrics = "127.0.0.1:9100"; // a free port instead
  if (const std::size_t place = text.find(metrics); place != std::string::npos) {
    text.replace(place, metrics.size(), at(aMachine.mMetrics));
  }
  return text;
}

// A node's process, started with the command of deploy/system.toml.
class node
{
public:
  node(const machine& aMachine, int aStorePort, const std::string& aFolder)
    : mMachine(aMachine)
    , mFile(aFolder + "/" + aMachine.mName + ".yaml")
    , mLog(aFolder + "/" + aMachine.mName + ".log")
  {
    std::ofstream(mFile) << Settings(aMachine, aStorePort);
    Start();
  }
  ~node() { Kill(); }
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  void Start()
  {
    const std::string deploy = ReadFile("deploy/system.toml");
    const std::size_t begin = deploy.find("run = \"") + 7;
    std::istringstream words(deploy.substr(begin, deploy.find('"', begin) - begin));
    std::vector<std::string> command;
    for (std::string word; words >> word;) {
      command.push_back(word == "/etc/plantaindale/local.json" ? mFile : word);
    }
    std::vector<char*> arguments;
    for (std::string& word : command) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    mPid = fork();
    if (mPid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // none outlives the case
      const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
  }
  void Signal(int aSignal) { kill(mPid, aSignal); }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = 0;
    }
  }
  bool IsReady() const
  {
    const auto answer = Call(mMachine.mReady,
                             "GET /api/readiness",
                             "Connection: close\r\n",
                             "",
                             milliseconds(500));
    return answer && answer->Status() == 200;
  }

private:
  const machine& mMachine;
  std::string mFile;
  std::string mLog;
  pid_t mPid = 0;
};

// A backend server beside a node. `aServe` gets each request but grants, and
// sends its answer.
class server
{
public:
  using on_request = std::function<bool(connection&, const message&)>;

  server(const machine& aMachine, std::string aId, on_request aServe)
    : mMachine(aMachine)
    , mId(std::move(aId))
    , mBorn(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
    , mServe(std::move(aServe))
    , mListener(aMachine.mServer, [this](connection& aMade) { Serve(aMade); })
  {
    mBeats = std::thread([this] { Beat(); });
  }
  ~server()
  {
    mHasEnded = true;
    mBeats.join();
  }

  const std::string& Id() const { return mId; }
  // The process ends at once.
  void Crash()
  {
    mIsBeating = false;
    mListener.Crash();
  }
  // A liveness report, and its call. Returns whether it was confirmed.
  std::string NextReport()
  {
    return "{\"service\":\"" + mMachine.mService +
           "\",\"address\":\"127.0.0.1:" + std::to_string(mMachine.mServer) +
           "\",\"zone\":\"" + mMachine.mZone +
           "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
           "\"coldRemaining\":\"0ms\",\"born\":" +
           std::to_string(mBorn) + ",\"seq\":" + std::to_string(++mSequence) +
           "}";
  }
  bool SendReport(const std::string& aReport)
  {
    const auto answer =
      Call(mMachine.mAdmin,
           "PUT /api/instances/" + mId,
           "Content-Type: application/json\r\nConnection: close\r\n",
           aReport,
           milliseconds(1000));
    return answer && answer->Status() / 100 == 2;
  }
  // A server that leaves by DELETE sends no liveness report after it. Returns
  // whether it was confirmed.
  bool Leave()
  {
    mIsBeating = false;
    const auto answer = Call(mMachine.mAdmin,
                             "DELETE /api/instances/" + mId,
                             "Connection: close\r\n",
                             "",
                             milliseconds(1000));
    return answer && answer->Status() / 100 == 2;
  }

private:
  void Serve(connection& aMade)
  {
    while (auto request = aMade.Receive(std::chrono::seconds(10))) {
      const std::string expected =
        request->Field("x-plantaindale-expected-instance");
      if (!expected.empty() && expected != mId) {
        aMade.Send("HTTP/1.1 421 Misdirected Request\r\n"
                   "X-Plantaindale-Instance-Id: " +
                   mId + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!mServe(aMade, *request)) {
        return;
      }
    }
  }

  void Beat()
  {
    while (!mHasEnded) {
      if (mIsBeating) {
        SendReport(NextReport());
      }
      for (int i = 0; i < 30 && !mHasEnded; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
  }

  const machine& mMachine;
  std::string mId;
  long mBorn;
  on_request mServe;
  std::atomic<int> mSequence = 0;
  std::atomic<bool> mHasEnded = false;
  std::atomic<bool> mIsBeating = true;
  std::thread mBeats;
  listener mListener;
};

// A server's answer to a request, with its digest.
inline std::string
SignedAnswer(int aStatus, const message& aRequest, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " Status\r\nX-Plantaindale-Attempt-Id: " +
         aRequest.Field("x-plantaindale-attempt-id") +
         "\r\nX-Plantaindale-Server-Signature: " +
         std::to_string(std::hash<std::string>()(aBody)) +
         "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Waits until the condition holds; ends the program with 2 if it doesn't.
inline void
Await(const std::string& aWhat,
      milliseconds aTime,
      const std::function<bool()>& aCondition)
{
  const auto until = steady::now() + aTime;
  while (!aCondition()) {
    if (steady::now() >= until) {
      std::cerr << "could not run: timed out waiting for " << aWhat << "\n";
      std::_Exit(2); // the nodes end with this process
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
}

inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// A folder of its own for settings and logs, removed at the end.
class work_folder
{
public:
  work_folder()
  {
    const char* base = std::getenv("TMPDIR");
    std::string name =
      std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    mPath = mkdtemp(name.data());
  }
  ~work_folder() { Remove(); }
  void Remove() const
  {
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::system(("rm -rf '" + mPath + "'").c_str());
    } else {
      std::cerr << "logs: " << mPath << "\n";
    }
  }
  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

// Ends the nodes and then the process, although threads of stand-ins still run.
[[noreturn]] inline void
ExitWith(int aResult,
         const std::vector<std::unique_ptr<node>>& aNodes,
         const work_folder& aFolder)
{
  for (const auto& started : aNodes) {
    started->Kill();
  }
  aFolder.Remove();
  std::_Exit(aResult);
}

// Plays a case; exits with 2 if it couldn't run.
[[noreturn]] inline void
RunAndExit(const std::function<void()>& aPlay)
{
  try {
    aPlay();
  } catch (const std::exception& error) {
    std::cerr << "could not run: " << error.what() << "\n";
  }
  std::_Exit(2);
}

} // namespace review
