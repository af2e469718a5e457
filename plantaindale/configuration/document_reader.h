// document_reader reads the fields of a settings or configuration document and
// collects all validation errors, each with its path and the expected value,
// so that an operator sees them all at once.
//
//   document_reader reader(&value, "", faults);
//   reader.AllowOnly({ "listen", "platform" });
//   std::string listen = reader.Text("listen", "");
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

namespace plantaindale {

struct document_fault;

// A view of one value of a document, which must outlive the reader. Fields of a
// missing value read as their fallbacks.
class document_reader
{
public:
  document_reader(const boost::json::value* aValue,
                  std::string aWhere,
                  std::vector<document_fault>& aFaults);

  bool IsPresent() const { return mValue != nullptr; }
  bool Has(std::string_view aName) const;
  std::vector<std::string> Names() const;
  document_reader Child(std::string_view aName) const;

  // Each of these adds a fault if the value does not match the request, and
  // then returns a fallback or, in Integer, the nearest allowed value.
  void AllowOnly(std::initializer_list<std::string_view> aNames);
  // Adds a fault at the path of this value.
  void AddFault(std::string_view aExpected);
  std::string Text(std::string_view aName, std::string_view aFallback);
  std::string RequiredText(std::string_view aName);
  std::int64_t Integer(std::string_view aName,
                       std::int64_t aFallback,
                       std::int64_t aMin,
                       std::int64_t aMax);
  double Number(std::string_view aName,
                double aFallback,
                double aMin,
                double aMax);
  bool Boolean(std::string_view aName, bool aFallback);

private:
  const boost::json::value* Find(std::string_view aName) const;

  const boost::json::value* mValue;
  std::string mFieldPath;
  std::vector<document_fault>& mFaults;
};

} // namespace plantaindale
