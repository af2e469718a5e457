// document_reader reads one level of a settings or configuration document and
// gathers every fault with its place and what was expected, so that an
// operator sees all of them at once.
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

// A view of one value of a document, which must outlive it. A missing value
// reads as its fallbacks.
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

  // Commands: each adds a fault when the value isn't what is asked for.
  void AllowOnly(std::initializer_list<std::string_view> aNames);
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
