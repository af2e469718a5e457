#include "plantaindale/evacuation/evacuation_list.h"

#include <algorithm>
#include <utility>

#include "plantaindale/base/error.h"
#include <boost/json.hpp>

namespace plantaindale {
namespace {

namespace json = boost::json;

constexpr std::string_view kDomainsField = "domains";

} // namespace

evacuation_list::evacuation_list(std::int64_t aRevision,
                                 std::vector<std::string> aDomains)
  : mRevision(aRevision)
  , mDomains(std::move(aDomains))
{
  std::sort(mDomains.begin(), mDomains.end());
  mDomains.erase(std::unique(mDomains.begin(), mDomains.end()), mDomains.end());
}

bool
evacuation_list::Take(const evacuation_list& aOther)
{
  if (aOther.mRevision <= mRevision) {
    return false;
  }
  mRevision = aOther.mRevision;
  if (mDomains == aOther.mDomains) {
    return false;
  }
  mDomains = aOther.mDomains;
  return true;
}

bool
evacuation_list::Contains(std::string_view aDomain) const
{
  return std::binary_search(mDomains.begin(), mDomains.end(), aDomain);
}

stored_object
MakeEvacuationObject(const evacuation_list& aList)
{
  json::array domains;
  for (const std::string& domain : aList.Domains()) {
    domains.push_back(json::value(domain));
  }
  stored_object object;
  object.kind = std::string(kEvacuationKind);
  object.name = std::string(kEvacuationName);
  object.revision = aList.Revision();
  object.body =
    json::serialize(json::object{ { kDomainsField, std::move(domains) } });
  return object;
}

absl::StatusOr<evacuation_list>
ParseEvacuationObject(const stored_object& aObject)
{
  try {
    std::vector<std::string> domains;
    const json::value body = json::parse(aObject.body);
    for (const json::value& domain : body.at(kDomainsField).as_array()) {
      domains.emplace_back(domain.as_string());
    }
    return evacuation_list(aObject.revision, std::move(domains));
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument,
                     "parse_evacuations",
                     aObject.name,
                     error.what());
  }
}

} // namespace plantaindale
