#include "plantaindale/store/http_object_store.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"
#include "plantaindale/net/http_call.h"
#include "plantaindale/store/http_status.h"
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

stored_object
ObjectFromJson(const json::value& aValue)
{
  const json::object& metadata = aValue.at("metadata").as_object();
  stored_object object;
  object.kind = metadata.at("kind").as_string();
  object.name = metadata.at("name").as_string();
  object.revision = metadata.at("revision").to_number<std::int64_t>();
  object.deleted = false;
  object.body = json::serialize(aValue.at("spec"));
  return object;
}

object_delta
DeltaFromJson(const json::value& aValue)
{
  object_delta delta;
  delta.from_revision = aValue.at("after").to_number<std::int64_t>();
  delta.to_revision = aValue.at("revision").to_number<std::int64_t>();
  for (const json::value& item : aValue.at("objects").as_array()) {
    delta.objects.push_back(ObjectFromJson(item));
  }
  return delta;
}

// Makes one call and converts the body of a 200 response with `aParse`.
template<class value_type>
absl::StatusOr<value_type>
Call(boost::asio::io_context& aContext,
     const http_request& aRequest,
     std::string_view aStep,
     value_type (*aParse)(const json::value&))
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
    return aParse(json::parse(answer->mBody));
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
  return Call<object_delta>(mContext, request, "platform_list", DeltaFromJson);
}

absl::StatusOr<object_delta>
http_object_store::Watch(std::int64_t aAfter)
{
  const std::string target =
    absl::StrCat("/watch?after=", aAfter, "&wait_ms=", kWatchWait.count());
  const http_request request{ mPeer, "GET", target, "", kWatchTimeout };
  return Call<object_delta>(mContext, request, "platform_watch", DeltaFromJson);
}

absl::StatusOr<stored_object>
http_object_store::Get(std::string_view aKind, std::string_view aName)
{
  const std::string target =
    "/objects/" + std::string(aKind) + "/" + std::string(aName);
  const http_request request{ mPeer, "GET", target, "", kCallTimeout };
  return Call<stored_object>(mContext, request, "platform_get", ObjectFromJson);
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
  return Call<stored_object>(
    mContext, request, "platform_write", ObjectFromJson);
}

json::value
ToJson(const stored_object& aObject)
{
  return { { "metadata",
             { { "kind", aObject.kind },
               { "name", aObject.name },
               { "revision", aObject.revision } } },
           { "spec", json::parse(aObject.body) } };
}

json::value
ToJson(const object_delta& aDelta)
{
  json::array objects;
  for (const stored_object& object : aDelta.objects) {
    objects.push_back(ToJson(object));
  }
  return { { "after", aDelta.from_revision },
           { "revision", aDelta.to_revision },
           { "objects", std::move(objects) } };
}

} // namespace plantaindale
