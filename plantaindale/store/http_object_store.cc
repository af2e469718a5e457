#include "plantaindale/store/http_object_store.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/base/json_split.h"
#include "plantaindale/base/log_event.h"
#include "plantaindale/base/or_throw.h"
#include "plantaindale/evacuation/evacuation_list.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/store/http_status.h"
#include "plantaindale/store/stored_content.h"
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
// How long the store holds a watch request without changes. A store that stops
// responding is detected only at the end of a hold, and a configuration must be
// in force within seconds.
constexpr std::chrono::milliseconds kWatchWait{ 1000 };
// kWatchWait plus the longest time for an answer.
constexpr std::chrono::milliseconds kWatchTimeout{ 1700 };

// The functions below throw on missing members and unexpected types; Call
// converts exceptions to a status.

// If only the content of the object can't be parsed, its body is empty.
stored_object
ReadObject(std::string_view aText)
{
  const auto members = OrThrow(SplitObject(aText));
  const json::value metadata = json::parse(FindMember(members, "metadata"));
  stored_object object;
  object.kind = metadata.at("kind").as_string();
  object.name = metadata.at("name").as_string();
  object.revision = metadata.at("revision").to_number<std::int64_t>();
  object.deleted = false;
  SetContent(FindMember(members, "spec"), object);
  return object;
}

object_delta
ReadDelta(std::string_view aText)
{
  const auto members = OrThrow(SplitObject(aText));
  const auto number = [&](std::string_view aName) {
    return json::parse(FindMember(members, aName)).to_number<std::int64_t>();
  };
  object_delta delta;
  delta.from_revision = number("after");
  delta.to_revision = number("revision");
  for (const std::string_view item :
       OrThrow(SplitArray(FindMember(members, "objects")))) {
    try {
      delta.objects.push_back(ReadObject(item));
    } catch (const std::exception& error) {
      log_event("object_refused", log_level::kWarning)
        .With("reason", error.what());
    }
  }
  return delta;
}

// Makes one call and converts the body of a 200 response with `aParse`.
template<class value_type>
absl::StatusOr<value_type>
Call(boost::asio::io_context& aContext,
     const http_request& aRequest,
     std::string_view aStep,
     value_type (*aParse)(std::string_view))
{
  auto answer = HttpCall(aContext, aRequest);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->mStatus != 200) {
    return MakeError(StoreHttpStatusToCode(answer->mStatus),
                     aStep,
                     aRequest.mPeer,
                     absl::StrCat("expected HTTP status 200, got ",
                                  answer->mStatus,
                                  ": ",
                                  answer->mBody));
  }
  try {
    return aParse(answer->mBody);
  } catch (const std::exception& error) {
    return MakeError(
      absl::StatusCode::kUnknown, aStep, aRequest.mPeer, error.what());
  }
}

} // namespace

http_object_store::http_object_store(boost::asio::io_context& aContext,
                                     std::string aPeer)
  : mContext(aContext)
  , mPeer(std::move(aPeer))
{
}

absl::StatusOr<object_delta>
http_object_store::List()
{
  const http_request request{ mPeer, "GET", "/objects", "", kCallTimeout };
  auto all = Call<object_delta>(mContext, request, "platform_list", ReadDelta);
  const bool lacks_evacuations =
    all.ok() && std::none_of(all->objects.begin(),
                             all->objects.end(),
                             [](const stored_object& aObject) {
                               return aObject.kind == kEvacuationKind;
                             });
  if (lacks_evacuations) {
    // Also after a restore that has lost an earlier list.
    all->objects.push_back(MakeEvacuationObject({ all->to_revision, {} }));
  }
  return all;
}

absl::StatusOr<object_delta>
http_object_store::Watch(std::int64_t aAfter)
{
  const std::string target =
    absl::StrCat("/watch?after=", aAfter, "&wait_ms=", kWatchWait.count());
  const http_request request{ mPeer, "GET", target, "", kWatchTimeout };
  return Call<object_delta>(mContext, request, "platform_watch", ReadDelta);
}

// The configuration is watched together with the other objects.
absl::StatusOr<object_delta>
http_object_store::AwaitConfiguration(duration aTime)
{
  boost::this_fiber::sleep_for(aTime);
  return object_delta();
}

absl::StatusOr<stored_object>
http_object_store::Get(std::string_view aKind, std::string_view aName)
{
  const std::string target =
    "/objects/" + std::string(aKind) + "/" + std::string(aName);
  const http_request request{ mPeer, "GET", target, "", kCallTimeout };
  return Call<stored_object>(mContext, request, "platform_get", ReadObject);
}

absl::StatusOr<stored_object>
http_object_store::Write(const conditional_write& aWrite)
{
  const std::string target = absl::StrCat("/objects/",
                                          aWrite.mKind,
                                          "/",
                                          aWrite.mName,
                                          "?base=",
                                          aWrite.mBaseRevision);
  const http_request request{
    mPeer, "PUT", target, aWrite.mBody, kCallTimeout
  };
  return Call<stored_object>(mContext, request, "platform_write", ReadObject);
}

std::string
Serialize(const stored_object& aObject)
{
  const json::object metadata{ { "kind", aObject.kind },
                               { "name", aObject.name },
                               { "revision", aObject.revision } };
  return absl::StrCat("{\"metadata\":",
                      std::string(json::serialize(metadata)),
                      ",\"spec\":",
                      aObject.body,
                      "}");
}

std::string
Serialize(const object_delta& aDelta)
{
  std::string text = absl::StrCat("{\"after\":",
                                  aDelta.from_revision,
                                  ",\"revision\":",
                                  aDelta.to_revision,
                                  ",\"objects\":[");
  std::string_view separator;
  for (const stored_object& object : aDelta.objects) {
    text += separator;
    text += Serialize(object);
    separator = ",";
  }
  return text + "]}";
}

} // namespace plantaindale
