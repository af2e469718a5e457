#include "stand_ins/platform/store.h"

#include "absl/strings/str_cat.h"
#include "plantaindale/store/write_conflict.h"
#include <boost/json.hpp>

namespace plantaindale::stand_ins {
namespace {

std::string
ObjectStorePath(std::string_view aKind, std::string_view aName)
{
  return std::string(aKind) + "/" + std::string(aName);
}

} // namespace

absl::StatusOr<stored_object>
store::Write(const conditional_write& aWrite)
{
  if (aWrite.mBody.size() > kMaxValueBytes) {
    return absl::InvalidArgumentError("the value is larger than 1 MB");
  }
  boost::system::error_code malformed;
  const boost::json::value value = boost::json::parse(aWrite.mBody, malformed);
  if (malformed) {
    return absl::InvalidArgumentError("the value is not JSON");
  }
  const std::string path = ObjectStorePath(aWrite.mKind, aWrite.mName);
  stored_object& object = mObjects[path];
  if (object.revision != aWrite.mBaseRevision) {
    const absl::Status refusal =
      absl::AbortedError(absl::StrCat("current revision is ", object.revision));
    if (object.revision == 0) {
      mObjects.erase(path);
      return refusal;
    }
    return WithCurrentObject(refusal, object);
  }
  const bool is_unchanged =
    object.revision != 0 && boost::json::parse(object.body, malformed) == value;
  if (is_unchanged) {
    return object;
  }
  return Store(object, aWrite);
}

const stored_object&
store::Store(stored_object& aObject, const conditional_write& aWrite)
{
  mPathsByRevision.erase(aObject.revision);
  aObject.kind = aWrite.mKind;
  aObject.name = aWrite.mName;
  aObject.revision = ++mRevision;
  aObject.body = aWrite.mBody;
  mPathsByRevision[mRevision] = ObjectStorePath(aWrite.mKind, aWrite.mName);
  return aObject;
}

void
store::WriteUnchecked(std::string aKind, std::string aName, std::string aBody)
{
  stored_object& object = mObjects[ObjectStorePath(aKind, aName)];
  Store(object, { std::move(aKind), std::move(aName), 0, std::move(aBody) });
}

void
store::Restore(const store& aCopy)
{
  const std::int64_t era = EraOf(mRevision) + 1;
  mObjects = aCopy.mObjects;
  mPathsByRevision.clear();
  for (auto& [path, object] : mObjects) {
    object.revision = MakeRevision(era, NumberOf(object.revision));
    mPathsByRevision[object.revision] = path;
  }
  mRevision = MakeRevision(era, NumberOf(aCopy.mRevision));
}

const stored_object*
store::Find(std::string_view aKind, std::string_view aName) const
{
  const auto found = mObjects.find(ObjectStorePath(aKind, aName));
  return found == mObjects.end() ? nullptr : &found->second;
}

object_delta
store::ChangesAfter(std::int64_t aRevision) const
{
  object_delta delta;
  delta.from_revision = aRevision;
  delta.to_revision = mRevision;
  for (auto change = mPathsByRevision.upper_bound(aRevision);
       change != mPathsByRevision.end();
       ++change) {
    delta.objects.push_back(mObjects.at(change->second));
  }
  return delta;
}

} // namespace plantaindale::stand_ins
