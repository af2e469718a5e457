#include "plantaindale/membership/node_record.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/net/endpoint.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kStateNames = { "active",
                                                          "fenced",
                                                          "retired",
                                                          "left" };

constexpr double kMaxCapacity = 1'000'000; // cores
constexpr std::size_t kMaxWitnesses = 64;

node_state
ParseNodeState(std::string_view aText)
{
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (kStateNames[i] == aText) {
      return static_cast<node_state>(i);
    }
  }
  throw std::invalid_argument(
    absl::StrCat("unknown node state: ", std::string(aText)));
}

json::value
ToJson(const node_identity& aIdentity)
{
  return { { "name", aIdentity.name },
           { "incarnation", aIdentity.incarnation } };
}

node_identity
IdentityFromJson(const json::value& aValue)
{
  return MakeIdentity(std::string(aValue.at("name").as_string()),
                      aValue.at("incarnation").to_number<std::int64_t>());
}

json::value
ToJson(const announced_server& aServer)
{
  return { { "service", aServer.mService },
           { "address", aServer.mAddress },
           { "slots", aServer.mSlots },
           { "connections", aServer.mConnections },
           { "checks_fences", aServer.mChecksFences },
           { "instance", aServer.mInstance },
           { "started_at", aServer.mStartedAt },
           { "keeps_grants", aServer.mKeepsGrants },
           { "leaving", aServer.mIsLeaving } };
}

announced_server
ServerFromJson(const json::value& aValue)
{
  announced_server server;
  server.mService = aValue.at("service").as_string();
  server.mAddress = aValue.at("address").as_string();
  server.mSlots = aValue.at("slots").to_number<int>();
  server.mConnections = aValue.at("connections").to_number<int>();
  server.mChecksFences = aValue.at("checks_fences").as_bool();
  server.mInstance = aValue.at("instance").as_string();
  server.mStartedAt = aValue.at("started_at").to_number<std::int64_t>();
  server.mKeepsGrants = aValue.at("keeps_grants").as_bool();
  server.mIsLeaving = aValue.at("leaving").as_bool();
  return server;
}

void
Require(bool aHolds, std::string_view aExpected)
{
  if (!aHolds) {
    throw std::invalid_argument(
      absl::StrCat("expected ", std::string(aExpected)));
  }
}

bool
IsCount(std::int64_t aNumber)
{
  return aNumber >= 0 && aNumber <= kMaxStoredNumber;
}

bool
IsEmptyOrAddress(const std::string& aAddress)
{
  return aAddress.empty() || ParseEndpoint(aAddress).ok();
}

// Throws if the server can't be used, whoever wrote the record.
void
CheckServer(const announced_server& aServer)
{
  Require(aServer.mSlots >= 0 && aServer.mSlots <= kMaxServerSlots,
          "slots from 0 to 100000");
  Require(aServer.mConnections >= 0 && aServer.mConnections <= kMaxServerSlots,
          "connections from 0 to 100000");
  Require(IsCount(aServer.mStartedAt), "started_at from 0 to 2^53");
  Require(IsEmptyOrAddress(aServer.mAddress), "a server address IP:PORT");
}

// Throws if the record can't be used.
void
CheckRecord(const node_record& aRecord, std::string_view aName)
{
  Require(aRecord.mIdentity.name == aName, "an identity of the entry's name");
  Require(aRecord.mIdentity.incarnation >= 1 &&
            IsCount(aRecord.mIdentity.incarnation),
          "an incarnation from 1 to 2^53");
  Require(IsCount(aRecord.mRetiredThrough) &&
            IsCount(aRecord.mConfirmedLostThrough) && IsCount(aRecord.mWrites),
          "counts from 0 to 2^53");
  Require(aRecord.mCapacity > 0 && aRecord.mCapacity <= kMaxCapacity,
          "a capacity above 0, at most 1000000");
  for (const std::string* address : { &aRecord.mAddresses.mCaller,
                                      &aRecord.mAddresses.mPeer,
                                      &aRecord.mAddresses.mControl,
                                      &aRecord.mAddresses.mAdmin }) {
    Require(IsEmptyOrAddress(*address), "addresses of the form IP:PORT");
  }
  Require(aRecord.mWitnesses.size() <= kMaxWitnesses, "at most 64 witnesses");
  if (aRecord.mServer) {
    CheckServer(*aRecord.mServer);
  }
}

node_record
RecordFromJson(const json::value& aValue)
{
  node_record record;
  record.mIdentity = IdentityFromJson(aValue.at("identity"));
  record.mState = ParseNodeState(aValue.at("state").as_string());
  record.mDraining = aValue.at("draining").as_bool();
  record.mRetiredThrough =
    aValue.at("retired_through").to_number<std::int64_t>();
  record.mConfirmedLostThrough =
    aValue.at("confirmed_lost_through").to_number<std::int64_t>();
  record.mWrites = aValue.at("renewals").to_number<std::int64_t>();
  record.mSuccessor = aValue.at("successor").as_string();
  record.mRegion = aValue.at("region").as_string();
  record.mFailureDomain = aValue.at("failure_domain").as_string();
  if (const json::value* capacity =
        aValue.as_object().if_contains("capacity")) {
    record.mCapacity = capacity->to_number<double>();
  }
  const json::value& addresses = aValue.at("addresses");
  record.mAddresses.mCaller = addresses.at("caller").as_string();
  record.mAddresses.mPeer = addresses.at("peer").as_string();
  record.mAddresses.mControl = addresses.at("control").as_string();
  record.mAddresses.mAdmin = addresses.at("admin").as_string();
  for (const json::value& witness : aValue.at("witnesses").as_array()) {
    record.mWitnesses.push_back(IdentityFromJson(witness));
  }
  if (!aValue.at("server").is_null()) {
    record.mServer = ServerFromJson(aValue.at("server"));
  }
  return record;
}

} // namespace

bool
node_record::AcceptsWork(std::string_view aService) const
{
  return IsActive() && !mDraining && !mIsEvacuated && mServer.has_value() &&
         !mServer->mIsLeaving && mServer->mService == aService;
}

absl::StatusOr<node_record>
ParseNodeRecord(const stored_object& aObject)
{
  try {
    node_record record = RecordFromJson(json::parse(aObject.body));
    CheckRecord(record, aObject.name);
    record.mRevision = aObject.revision;
    return record;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_node_record",
                     aObject.name,
                     error.what());
  }
}

std::string
Serialize(const node_record& aRecord)
{
  json::array witnesses;
  for (const node_identity& witness : aRecord.mWitnesses) {
    witnesses.push_back(ToJson(witness));
  }
  const json::value server =
    aRecord.mServer ? ToJson(*aRecord.mServer) : json::value(nullptr);
  const json::value value = { { "identity", ToJson(aRecord.mIdentity) },
                              { "state", ToText(aRecord.mState) },
                              { "draining", aRecord.mDraining },
                              { "retired_through", aRecord.mRetiredThrough },
                              { "confirmed_lost_through",
                                aRecord.mConfirmedLostThrough },
                              { "renewals", aRecord.mWrites },
                              { "successor", aRecord.mSuccessor },
                              { "region", aRecord.mRegion },
                              { "failure_domain", aRecord.mFailureDomain },
                              { "capacity", aRecord.mCapacity },
                              { "addresses",
                                { { "caller", aRecord.mAddresses.mCaller },
                                  { "peer", aRecord.mAddresses.mPeer },
                                  { "control", aRecord.mAddresses.mControl },
                                  { "admin", aRecord.mAddresses.mAdmin } } },
                              { "witnesses", std::move(witnesses) },
                              { "server", server } };
  return json::serialize(value);
}

std::string_view
ToText(node_state aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

} // namespace plantaindale
