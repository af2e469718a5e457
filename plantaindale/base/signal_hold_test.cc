#include "plantaindale/base/signal_hold.h"

#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

volatile std::sig_atomic_t gHandled = 0;

void
CountSignal(int)
{
  gHandled = gHandled + 1;
}

BOOST_AUTO_TEST_SUITE(holding_signals)

BOOST_AUTO_TEST_CASE(a_signal_before_the_handlers_are_set_is_handled_afterwards)
{
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    gHandled = 0;
    signal_hold hold;
    std::raise(signal);
    const auto former = std::signal(signal, CountSignal);
    BOOST_CHECK_EQUAL(gHandled, 0);
    hold.Release();
    BOOST_CHECK_EQUAL(gHandled, 1);
    std::signal(signal, former);
  }
}

BOOST_AUTO_TEST_CASE(signals_are_delivered_as_before_once_released)
{
  {
    signal_hold hold;
  }
  gHandled = 0;
  const auto former = std::signal(SIGHUP, CountSignal);
  std::raise(SIGHUP);
  BOOST_CHECK_EQUAL(gHandled, 1);
  std::signal(SIGHUP, former);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
