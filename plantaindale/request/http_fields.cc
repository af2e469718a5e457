#include "plantaindale/request/http_fields.h"

#include "absl/strings/match.h"
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace plantaindale {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kRouterFieldPrefix = "plantaindale-";

bool
IsHopByHop(http::field aField)
{
  switch (aField) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

bool
IsListedInConnection(const http::fields& aFields, std::string_view aName)
{
  return http::token_list(aFields[http::field::connection]).exists(aName);
}

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

std::vector<protocol::header_field>
EndToEndFields(const http::fields& aFields)
{
  std::vector<protocol::header_field> forwarded;
  const bool has_connection_field = aFields.count(http::field::connection) > 0;
  for (const auto& field : aFields) {
    const std::string_view name = field.name_string();
    const bool is_router_field =
      absl::StartsWithIgnoreCase(View(name), View(kRouterFieldPrefix));
    if (is_router_field || IsHopByHop(field.name()) ||
        (has_connection_field && IsListedInConnection(aFields, name))) {
      continue;
    }
    protocol::header_field copy;
    copy.name = name;
    copy.value = field.value();
    forwarded.push_back(std::move(copy));
  }
  return forwarded;
}

void
AddFields(const std::vector<protocol::header_field>& aFields,
          http::fields& aTarget)
{
  for (const protocol::header_field& field : aFields) {
    aTarget.insert(field.name, field.value);
  }
}

void
RemoveField(std::vector<protocol::header_field>& aFields,
            std::string_view aName)
{
  std::erase_if(aFields, [&](const protocol::header_field& aField) {
    return absl::EqualsIgnoreCase(aField.name, View(aName));
  });
}

std::string_view
FieldValue(const std::vector<protocol::header_field>& aFields,
           std::string_view aName)
{
  for (const protocol::header_field& field : aFields) {
    if (absl::EqualsIgnoreCase(field.name, View(aName))) {
      return field.value;
    }
  }
  return {};
}

} // namespace plantaindale
