// A backend server stand-in: an HTTP server that stores notices by path in
// memory and simulates cold starts, run time limits, fencing, grants of keys
// and crashes. It logs, but does not refuse, requests beyond its slots.
//
// A request whose path contains `/deadly` ends the process while it runs.
//
//   GET  PATH              returns the notices posted to the path
//   GET  PATH?bytes=N      returns N bytes
//   POST, PUT PATH         adds the body as a notice; returns its length and
//                          hash and the number of notices
//
// `X-Work-Ms` is how long the request runs; `X-Tag` is returned in the
// response.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"
#include "stand_ins/backend_server/held_keys.h"
#include "stand_ins/backend_server/run_log.h"
#include "stand_ins/backend_server/settings.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale::stand_ins {

// Not thread-safe: use it on one thread.
class server
{
public:
  server(boost::asio::io_context& aContext, server_settings aSettings);

  absl::Status Listen();
  // Announces this server to the node periodically; does not return.
  void AnnounceLoop();

private:
  class connection;

  void AcceptLoop();
  // Sleeps for the cold start time on the first call for a shard.
  void WarmUp(const std::string& aShard);
  // Whether a run may start or continue: its time limit has not passed and, if
  // fences are checked, its epoch is the highest seen for the shard and the
  // node's lease is valid. If grants are kept, the server must hold the key of
  // the path.
  bool MayRun(const run_entry& aEntry,
              std::string_view aPath,
              instant aRunUntil);

  boost::asio::io_context& mContext;
  server_settings mSettings;
  run_log mLog;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::set<std::string> mWarmShards;
  std::map<std::string, std::int64_t> mEpochs; // highest seen, by shard
  std::map<std::string, std::vector<std::string>> mNotices;
  instant mLeaseUntil = kNever;
  held_keys mHeldKeys;
  bool mIsLeaving = false; // said in every response, not announced
  int mRunning = 0;
};

} // namespace plantaindale::stand_ins
