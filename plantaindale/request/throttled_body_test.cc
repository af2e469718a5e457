#include "plantaindale/request/throttled_body.h"

#include <string>

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

const instant kFarFuture = boot_clock::now() + std::chrono::hours(1);
const admission_request kUpload{ "", "upload", 1, kFarFuture, kFarFuture };

// A transfer that has the one turn.
struct transfer
{
  transfer()
    : mText(3, 'x')
    , mSource(mText)
  {
    mTransferLimiter.SetSlots(1);
    mBody.emplace(mSource, *mTransferLimiter.Acquire(kUpload));
  }

  std::string mText;
  memory_body mSource;
  server_limiter mTransferLimiter;
  std::optional<throttled_body> mBody;
  char mBuffer[8];
};

BOOST_AUTO_TEST_SUITE(throttled_body_test)

BOOST_AUTO_TEST_CASE(holds_its_permit_until_the_body_ends)
{
  transfer upload;
  BOOST_CHECK_EQUAL(*upload.mBody->Read(upload.mBuffer), 3u);
  BOOST_CHECK_EQUAL(upload.mTransferLimiter.Running(), 1);
  BOOST_CHECK_EQUAL(*upload.mBody->Read(upload.mBuffer), 0u);
  BOOST_CHECK_EQUAL(upload.mTransferLimiter.Running(), 0);
}

BOOST_AUTO_TEST_CASE(releases_its_permit_when_the_transfer_is_slow)
{
  transfer upload;
  BOOST_CHECK(upload.mBody->Read({ upload.mBuffer, 1 }).ok());
  boost::this_fiber::sleep_for(std::chrono::milliseconds(260));
  BOOST_CHECK(upload.mBody->Read({ upload.mBuffer, 1 }).ok());
  BOOST_CHECK_EQUAL(upload.mTransferLimiter.Running(), 0);
}

BOOST_AUTO_TEST_CASE(releases_its_permit_when_destroyed)
{
  transfer upload;
  upload.mBody.reset();
  BOOST_CHECK_EQUAL(upload.mTransferLimiter.Running(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
