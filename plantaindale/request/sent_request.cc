#include "plantaindale/request/sent_request.h"

#include <boost/asio/error.hpp>

namespace plantaindale {

void
sent_request::OnWritten(const boost::system::error_code& aError)
{
  if (!mError && aError != boost::asio::error::operation_aborted) {
    mError = aError;
  }
}

std::string_view
sent_request::DoubtOfUndelimited(unsigned aStatus) const
{
  if (mError) {
    return "response without length on a connection that failed while the "
           "request was sent";
  }
  const bool is_success = aStatus / 100 == 2;
  if (is_success && !IsComplete()) {
    return "success without length before the request was sent completely";
  }
  return {};
}

} // namespace plantaindale
