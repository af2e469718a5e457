#include "stand_ins/backend_server/run_log.h"

namespace plantaindale::stand_ins {
namespace {

const char*
OrDash(const std::string& aText)
{
  return aText.empty() ? "-" : aText.c_str();
}

} // namespace

run_log::run_log(const std::string& aFile, std::string aServer)
  : mServer(std::move(aServer))
{
  if (!aFile.empty()) {
    mFile = std::fopen(aFile.c_str(), "a");
  }
}

run_log::~run_log()
{
  if (mFile != nullptr) {
    std::fclose(mFile);
  }
}

void
run_log::Write(std::string_view aEventType,
               const run_entry& aEntry,
               instant aAt)
{
  if (mFile == nullptr) {
    return;
  }
  std::fprintf(mFile,
               "%.*s %lld %s %s %s %s %s\n",
               static_cast<int>(aEventType.size()),
               aEventType.data(),
               static_cast<long long>(ToMicros(aAt)),
               mServer.c_str(),
               OrDash(aEntry.mShard),
               OrDash(aEntry.mEpoch),
               OrDash(aEntry.mTag),
               OrDash(aEntry.mMethod));
  std::fflush(mFile);
}

} // namespace plantaindale::stand_ins
