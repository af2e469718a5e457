// The backend server stand-in: a small HTTP server with slots, cold starts,
// deadlines and fences, which keeps notices by path in memory.
//
//   GET  PATH              the notices posted to the path, and how many
//   GET  PATH?bytes=N      N bytes
//   POST, PUT PATH         takes the body; answers its length and hash
//
// `X-Work-Ms` makes a request take that long; `X-Tag` comes back in the answer.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "plantaindale/base/boot_clock.h"
#include "plantaindale/net/tcp_stream.h"
#include "stand_ins/backend_server/run_log.h"
#include "stand_ins/backend_server/settings.h"
#include <boost/asio/ip/tcp.hpp>

namespace plantaindale::stand_ins {

// Belongs to one thread.
class server
{
public:
  server(boost::asio::io_context& aContext, server_settings aSettings);

  absl::Status Listen();
  // Tells the node of this server, again and again.
  void AnnounceLoop();

private:
  class connection;

  void AcceptLoop();
  // Waits out the shard's cold start the first time.
  void WarmUp(const std::string& aShard);
  // Whether a run under this epoch may begin or go on.
  bool MayRun(const run_entry& aEntry, instant aRunUntil);

  boost::asio::io_context& mContext;
  server_settings mSettings;
  run_log mLog;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::set<std::string> mWarmShards;
  std::map<std::string, std::int64_t> mEpochs; // the highest seen, by shard
  std::map<std::string, std::vector<std::string>> mNotices;
  instant mLeaseUntil = kNever;
  int mRunning = 0;
};

} // namespace plantaindale::stand_ins
