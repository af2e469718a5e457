#include "plantaindale/base/json_split.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "plantaindale/base/error.h"

namespace plantaindale {
namespace {

constexpr std::string_view kSpace = " \t\r\n";
// What can follow a number or a literal.
constexpr std::string_view kScalarEnd = " \t\r\n,]}:";

// Reads a text from left to right. After a failure all further reads fail.
class json_cursor
{
public:
  explicit json_cursor(std::string_view aText)
    : mText(aText)
  {
  }

  bool HasFailed() const { return mHasFailed; }
  std::size_t Position() const { return mPosition; }
  bool IsAtEnd()
  {
    SkipSpace();
    return mPosition == mText.size();
  }

  // Skips the character if it is next.
  bool Take(char aExpected)
  {
    SkipSpace();
    if (mHasFailed || mPosition == mText.size() ||
        mText[mPosition] != aExpected) {
      return false;
    }
    ++mPosition;
    return true;
  }

  void Expect(char aExpected) { mHasFailed = !Take(aExpected) || mHasFailed; }

  // Reads a list with commas between its parts, each of which `aRead` reads.
  template<class part_type, class read_type>
  std::vector<part_type> List(char aOpen, char aClose, read_type&& aRead)
  {
    std::vector<part_type> parts;
    Expect(aOpen);
    bool is_complete = Take(aClose);
    while (!is_complete && !mHasFailed) {
      parts.push_back(aRead());
      is_complete = !Take(',');
      if (is_complete) {
        Expect(aClose);
      }
    }
    return parts;
  }

  // Returns the text between the quotes of the string that is next.
  std::string_view String()
  {
    Expect('"');
    const std::size_t begin = mPosition;
    while (!mHasFailed && mPosition < mText.size() && mText[mPosition] != '"') {
      mPosition += mText[mPosition] == '\\' ? 2 : 1;
    }
    if (mHasFailed || mPosition >= mText.size()) {
      Fail();
      return {};
    }
    return mText.substr(begin, mPosition++ - begin);
  }

  // Returns the text of the value that is next.
  std::string_view Value()
  {
    SkipSpace();
    const std::size_t begin = mPosition;
    std::size_t depth = 0;
    do {
      SkipToken(depth);
    } while (!mHasFailed && depth > 0);
    return mHasFailed ? std::string_view()
                      : mText.substr(begin, mPosition - begin);
  }

private:
  void Fail()
  {
    mHasFailed = true;
    mPosition = mText.size();
  }

  void SkipSpace()
  {
    mPosition =
      std::min(mText.find_first_not_of(kSpace, mPosition), mText.size());
  }

  // Skips a bracket, a separator, or a whole string, number or literal.
  void SkipToken(std::size_t& aDepth)
  {
    SkipSpace();
    if (mHasFailed || mPosition == mText.size()) {
      Fail();
      return;
    }
    const char next = mText[mPosition];
    if (next == '"') {
      String();
    } else if (next == '{' || next == '[') {
      ++aDepth;
      ++mPosition;
    } else if (aDepth > 0 && (next == '}' || next == ']')) {
      --aDepth;
      ++mPosition;
    } else if (aDepth > 0 && (next == ',' || next == ':')) {
      ++mPosition;
    } else {
      const std::size_t end = mText.find_first_of(kScalarEnd, mPosition);
      if (end == mPosition) {
        Fail();
        return;
      }
      mPosition = std::min(end, mText.size());
    }
  }

  std::string_view mText;
  std::size_t mPosition = 0;
  bool mHasFailed = false;
};

absl::Status
SplitError(const json_cursor& aCursor, std::string_view aExpected)
{
  return MakeError(absl::StatusCode::kInvalidArgument,
                   "split_json",
                   "",
                   absl::StrCat("expected ",
                                std::string(aExpected),
                                ", stopped at byte ",
                                aCursor.Position()));
}

} // namespace

absl::StatusOr<std::vector<json_member>>
SplitObject(std::string_view aText)
{
  json_cursor cursor(aText);
  auto members = cursor.List<json_member>('{', '}', [&] {
    json_member member;
    member.mName = cursor.String();
    cursor.Expect(':');
    member.mValue = cursor.Value();
    return member;
  });
  if (cursor.HasFailed() || !cursor.IsAtEnd()) {
    return SplitError(cursor, "an object");
  }
  return members;
}

absl::StatusOr<std::vector<std::string_view>>
SplitArray(std::string_view aText)
{
  json_cursor cursor(aText);
  auto elements =
    cursor.List<std::string_view>('[', ']', [&] { return cursor.Value(); });
  if (cursor.HasFailed() || !cursor.IsAtEnd()) {
    return SplitError(cursor, "an array");
  }
  return elements;
}

std::string_view
FindMember(const std::vector<json_member>& aMembers, std::string_view aName)
{
  for (auto member = aMembers.rbegin(); member != aMembers.rend(); ++member) {
    if (member->mName == aName) {
      return member->mValue;
    }
  }
  return {};
}

} // namespace plantaindale
