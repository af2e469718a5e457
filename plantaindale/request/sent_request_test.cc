#include "plantaindale/request/sent_request.h"

#include <boost/asio/error.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

namespace asio = boost::asio;

constexpr unsigned kStatuses[] = { 200, 204, 302, 404, 413, 500 };

BOOST_AUTO_TEST_SUITE(sent_requests)

BOOST_AUTO_TEST_SUITE(that_are_complete)

BOOST_AUTO_TEST_CASE(leave_no_doubt_of_a_response)
{
  sent_request sent;
  sent.OnWritten({});
  sent.SetComplete(kNever);
  for (const unsigned status : kStatuses) {
    BOOST_CHECK_EQUAL(sent.DoubtOfUndelimited(status), "");
  }
}

BOOST_AUTO_TEST_CASE(tell_the_time_since_then)
{
  const instant end(std::chrono::seconds(100));
  const duration second = std::chrono::seconds(1);
  sent_request sent;
  BOOST_CHECK(sent.TimeSinceComplete(end) == duration(0));
  sent.SetComplete(end - second);
  sent.SetComplete(end);
  BOOST_CHECK(sent.TimeSinceComplete(end + second) == second);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_not_complete)

BOOST_AUTO_TEST_CASE(can_fail_but_not_succeed)
{
  sent_request sent;
  sent.OnWritten({});
  for (const unsigned status : kStatuses) {
    const bool is_success = status < 300;
    BOOST_CHECK_EQUAL(!sent.DoubtOfUndelimited(status).empty(), is_success);
  }
}

BOOST_AUTO_TEST_CASE(are_not_in_doubt_for_a_write_that_was_cancelled_here)
{
  sent_request sent;
  sent.OnWritten(asio::error::operation_aborted);
  BOOST_CHECK(!sent.Error());
  BOOST_CHECK_EQUAL(sent.DoubtOfUndelimited(413), "");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a reset that the writer has got and the reader doesn't see.
BOOST_AUTO_TEST_CASE(whose_writer_saw_an_error_leave_a_doubt_of_each_response)
{
  const boost::system::error_code errors[] = {
    asio::error::connection_reset,
    asio::error::broken_pipe,
    asio::error::timed_out,
    asio::error::connection_aborted,
  };
  for (const boost::system::error_code& error : errors) {
    for (const bool is_complete : { false, true }) {
      sent_request sent;
      sent.OnWritten(error);
      sent.OnWritten({});
      if (is_complete) {
        sent.SetComplete(kNever);
      }
      BOOST_CHECK(sent.Error() == error);
      for (const unsigned status : kStatuses) {
        BOOST_CHECK_MESSAGE(!sent.DoubtOfUndelimited(status).empty(),
                            error.message() << ", status " << status);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(report_the_first_error)
{
  sent_request sent;
  sent.OnWritten(asio::error::connection_reset);
  sent.OnWritten(asio::error::broken_pipe);
  BOOST_CHECK(sent.Error() == asio::error::connection_reset);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
