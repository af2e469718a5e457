#include "plantaindale/membership/peer_index.h"

#include "absl/strings/str_cat.h"
#include <boost/test/unit_test.hpp>

namespace plantaindale {
namespace {

using addresses = std::vector<std::string>;

const instant kNow{ std::chrono::seconds(100) };

struct three_domains
{
  three_domains()
  {
    Store("n1", "soum-1");
    Store("n2", "soum-1");
    Store("n3", "soum-2");
    Store("n4", "soum-3");
    mPeers.Update(mView);
  }

  static std::string AddressOf(const std::string& aName)
  {
    return absl::StrCat("10.0.0.", aName.substr(1), ":82");
  }

  void Store(const std::string& aName,
             const std::string& aDomain,
             node_state aState = node_state::kActive,
             double aCapacity = 1)
  {
    node_record record;
    record.mIdentity = MakeIdentity(aName, 1);
    record.mState = aState;
    record.mFailureDomain = aDomain;
    record.mCapacity = aCapacity;
    record.mAddresses.mControl = AddressOf(aName);
    record.mServer = announced_server{ "board", "10.0.0.1:84", 4, 8 };
    stored_object object;
    object.kind = std::string(kNodeKind);
    object.name = aName;
    object.revision = ++mRevision;
    object.body = Serialize(record);
    mView.ApplyObject(object, kNow);
  }

  void StorePage()
  {
    stored_object object;
    object.kind = std::string(kShardPageKind);
    object.name = PageName("board", 0);
    object.revision = ++mRevision;
    object.body = Serialize(MakeEmptyPage("board", 0, 8));
    mView.ApplyObject(object, kNow);
  }

  std::int64_t mRevision = 0;
  cluster_view mView;
  peer_index mPeers{ "n1", "soum-1" };
};

BOOST_FIXTURE_TEST_SUITE(peers_of_a_node, three_domains)

BOOST_AUTO_TEST_CASE(are_listed_by_name_without_the_node_itself)
{
  BOOST_TEST(mPeers.Active() ==
             (addresses{ AddressOf("n2"), AddressOf("n3"), AddressOf("n4") }));
  BOOST_TEST(mPeers.InLocalDomain() == addresses{ AddressOf("n2") });
  BOOST_TEST(mPeers.AcceptingWork("board") == mPeers.Active());
  BOOST_TEST(mPeers.AcceptingWork("rolls") == addresses());
  BOOST_TEST(mPeers.DomainCount() == 3);
}

BOOST_AUTO_TEST_CASE(in_other_domains_are_found_by_address)
{
  BOOST_TEST(mPeers.RemoteDomains().size() == 2);
  BOOST_TEST(mPeers.RemoteDomains().at("soum-2") ==
             addresses{ AddressOf("n3") });
  BOOST_TEST(mPeers.IsInRemoteDomain(AddressOf("n3")));
  BOOST_TEST(!mPeers.IsInRemoteDomain(AddressOf("n2")));
  BOOST_TEST(!mPeers.IsInRemoteDomain("10.9.9.9:82"));
}

BOOST_AUTO_TEST_CASE(watch_in_the_order_of_their_capacity)
{
  Store("n2", "soum-1", node_state::kActive, 4);
  mPeers.Update(mView);
  BOOST_TEST_REQUIRE(mPeers.WatchOrder().size() == 2);
  BOOST_TEST(mPeers.WatchOrder().front()->mIdentity.name == "n2");
}

BOOST_AUTO_TEST_CASE(are_never_those_of_records_that_have_changed)
{
  BOOST_TEST(mPeers.AcceptingWork("board").size() == 3);
  Store("n3", "soum-2", node_state::kFenced);
  Store("n5", "soum-1");
  mPeers.Update(mView);
  BOOST_TEST(mPeers.Active() ==
             (addresses{ AddressOf("n2"), AddressOf("n4"), AddressOf("n5") }));
  BOOST_TEST(mPeers.AcceptingWork("board") == mPeers.Active());
  BOOST_TEST(mPeers.InLocalDomain() ==
             (addresses{ AddressOf("n2"), AddressOf("n5") }));
  BOOST_TEST(!mPeers.RemoteDomains().contains("soum-2"));
  BOOST_TEST(mPeers.IsInRemoteDomain(AddressOf("n3")));
  BOOST_TEST(mPeers.DomainCount() == 2);
}

BOOST_AUTO_TEST_CASE(are_not_listed_again_for_a_changed_page)
{
  const std::int64_t generation = mView.Generation();
  const std::int64_t records_generation = mView.RecordsGeneration();
  StorePage();
  BOOST_TEST(mView.Generation() > generation);
  BOOST_TEST(mView.RecordsGeneration() == records_generation);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace plantaindale
