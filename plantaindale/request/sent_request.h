// sent_request records what the sending side of an exchange has seen. It
// answers for servers that respond before they have read a long request, and
// for connections that are reset meanwhile: a socket reports a reset only once,
// to its writer or to its reader, and the other one sees a plain end.
//
//   sent_request sent;
//   sent.OnWritten(error);
//   if (ends_with_connection && !sent.DoubtOfUndelimited(status).empty()) {
//     ... the response can't be known to be whole ...
//   }
#pragma once

#include <optional>
#include <string_view>

#include "plantaindale/base/boot_clock.h"
#include <boost/system/error_code.hpp>

namespace plantaindale {

// A value without network or clock.
class sent_request
{
public:
  // Commands.
  // The result of each write. A write that was cancelled on this side says
  // nothing of the connection.
  void OnWritten(const boost::system::error_code& aError);
  // The last byte of the request was written by `aNow`; a later call moves the
  // time, for a request whose end is seen only then.
  void SetComplete(instant aNow) { mCompletedAt = aNow; }

  // Queries.
  bool IsComplete() const { return mCompletedAt.has_value(); }
  // Time since the request was sent completely; 0 if it has not been.
  duration TimeSinceComplete(instant aNow) const
  {
    return mCompletedAt ? aNow - *mCompletedAt : duration(0);
  }
  // The first error of the connection that a write has got.
  const boost::system::error_code& Error() const { return mError; }
  // Why a response with this status can't be known to be whole if it has no
  // length and ends with its connection; empty if it can. A server may fail a
  // request that it has not read, but not complete it.
  std::string_view DoubtOfUndelimited(unsigned aStatus) const;

private:
  boost::system::error_code mError;
  std::optional<instant> mCompletedAt;
};

} // namespace plantaindale
