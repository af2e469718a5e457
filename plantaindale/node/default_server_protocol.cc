#include "plantaindale/node/default_server_protocol.h"

#include "plantaindale/base/error.h"
#include "plantaindale/configuration/cluster_configuration.h"
#include "plantaindale/configuration/document_reader.h"
#include "plantaindale/net/endpoint.h"
#include "plantaindale/store/object_store.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::string_view kAnnouncePath = "/announce";
constexpr std::string_view kHandoverField = "Plantaindale-Handover";
// A server on the same machine answers within a few milliseconds.
constexpr std::chrono::milliseconds kGrantTimeout{ 300 };
// A release is answered only after all requests for the keys have ended.
constexpr std::chrono::milliseconds kReleaseTimeout{ 2000 };
constexpr std::int64_t kMaxColdMs = 3'600'000;

absl::Status
Malformed(std::string_view aReason)
{
  return MakeError(absl::StatusCode::kInvalidArgument, "announce", "", aReason);
}

} // namespace

absl::StatusOr<server_notice>
default_server_protocol::ParseNotice(const http_server_request& aRequest) const
{
  if (aRequest.Path() != kAnnouncePath || aRequest.mMethod != "POST") {
    return absl::NotFoundError("not an announcement: expected POST /announce");
  }
  boost::system::error_code malformed;
  const json::value value = json::parse(aRequest.mBody, malformed);
  if (malformed) {
    return Malformed("the body is not valid JSON");
  }
  std::vector<document_fault> faults;
  document_reader reader(&value, "", faults);
  reader.AllowOnly({ "service",
                     "address",
                     "slots",
                     "connections",
                     "checks_fences",
                     "keeps_grants",
                     "instance",
                     "started_at",
                     "leaving",
                     "cold_ms" });
  server_notice notice;
  announced_server& server = notice.mServer;
  server.mService = reader.RequiredText("service");
  server.mAddress = reader.RequiredText("address");
  server.mSlots =
    static_cast<int>(reader.Integer("slots", 0, 1, kMaxServerSlots));
  server.mConnections =
    static_cast<int>(reader.Integer("connections", 0, 1, kMaxServerSlots));
  server.mChecksFences = reader.Boolean("checks_fences", false);
  server.mKeepsGrants = reader.Boolean("keeps_grants", false);
  server.mInstance = reader.Text("instance", "");
  server.mStartedAt = reader.Integer("started_at", 0, 0, kMaxStoredNumber);
  server.mIsLeaving = reader.Boolean("leaving", false);
  if (reader.Has("cold_ms")) {
    notice.mColdFor =
      std::chrono::milliseconds(reader.Integer("cold_ms", 0, 0, kMaxColdMs));
  }
  if (!ParseEndpoint(server.mAddress).ok()) {
    reader.Child("address").AddFault("IP:PORT");
  }
  if (!faults.empty()) {
    return Malformed(faults.front().mFieldPath + ": expected " +
                     faults.front().mExpected);
  }
  return notice;
}

http_request
default_server_protocol::MakeGrantRequest(const announced_server& aServer,
                                          const key_grant& aGrant) const
{
  json::object body{ { "from", aGrant.mKeys.mFrom },
                     { "to", aGrant.mKeys.mTo },
                     { "fence", aGrant.mFence },
                     { "hold_ms", aGrant.mHold.count() } };
  if (!aGrant.mHandover.empty()) {
    body["handover"] = aGrant.mHandover;
  }
  return { aServer.mAddress,
           "POST",
           "/plantaindale/grant",
           json::serialize(body),
           kGrantTimeout };
}

http_request
default_server_protocol::MakeReleaseRequest(const announced_server& aServer,
                                            const key_grant& aGrant) const
{
  const json::object body{ { "from", aGrant.mKeys.mFrom },
                           { "to", aGrant.mKeys.mTo },
                           { "fence", aGrant.mFence } };
  return { aServer.mAddress,
           "POST",
           "/plantaindale/release",
           json::serialize(body),
           kReleaseTimeout };
}

std::string
default_server_protocol::ParseHandover(const http_response& aAnswer) const
{
  return std::string(aAnswer.Field(kHandoverField));
}

} // namespace plantaindale
