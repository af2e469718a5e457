#include "plantaindale/request/paced_body.h"

#include <string>

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kFar = boot_clock::now() + std::chrono::hours(1);
const admission kUpload{ "", "upload", 1, kFar, kFar };

// A transfer that has the one turn.
struct transfer
{
  transfer()
    : mText(3, 'x')
    , mSource(mText)
  {
    mTransfers.SetSlots(1);
    mBody.emplace(mSource, *mTransfers.Acquire(kUpload));
  }

  std::string mText;
  memory_body mSource;
  server_limiter mTransfers;
  std::optional<paced_body> mBody;
  char mBuffer[8];
};

BOOST_AUTO_TEST_SUITE(the_transfer_of_a_large_body)

BOOST_AUTO_TEST_CASE(has_its_turn_until_the_body_is_whole)
{
  transfer upload;
  BOOST_CHECK_EQUAL(*upload.mBody->Read(upload.mBuffer), 3u);
  BOOST_CHECK_EQUAL(upload.mTransfers.Running(), 1);
  BOOST_CHECK_EQUAL(*upload.mBody->Read(upload.mBuffer), 0u);
  BOOST_CHECK_EQUAL(upload.mTransfers.Running(), 0);
}

BOOST_AUTO_TEST_CASE(loses_its_turn_when_it_is_slow)
{
  transfer upload;
  BOOST_CHECK(upload.mBody->Read({ upload.mBuffer, 1 }).ok());
  boost::this_fiber::sleep_for(std::chrono::milliseconds(260));
  BOOST_CHECK(upload.mBody->Read({ upload.mBuffer, 1 }).ok());
  BOOST_CHECK_EQUAL(upload.mTransfers.Running(), 0);
}

BOOST_AUTO_TEST_CASE(ends_its_turn_when_it_is_given_up)
{
  transfer upload;
  upload.mBody.reset();
  BOOST_CHECK_EQUAL(upload.mTransfers.Running(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
