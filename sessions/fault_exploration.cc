#include "sessions/fault_exploration.h"

namespace plantaindale::sessions {
namespace {

struct named_rule
{
  std::string_view mName;
  bool lease_rules::*mRule;
};

constexpr named_rule kNamedRules[] = {
  { "count-from-sending", &lease_rules::mCountFromSendTime },
  { "floor-waits-for-vouch", &lease_rules::mFencingFloorWaitsForVouch },
  { "witness-is-one-incarnation", &lease_rules::mWitnessChecksIncarnation },
  { "taker-waits", &lease_rules::mCoordinatorWaits },
  { "pending-sets-count", &lease_rules::mPendingSetsAreRequired },
  { "never-resume-after-lost-write", &lease_rules::mNeverResumeAfterLostWrite },
  { "floors-are-asked", &lease_rules::mFencingFloorsAreRequested },
};

} // namespace

model_settings
ExplorationSettings(std::string_view aRule)
{
  model_settings settings;
  settings.mKillPermille = 20;
  settings.mFreezePermille = 60;
  settings.mBlockedLinkPermille = 120;
  settings.mMovePermille = 150;
  settings.mDrainPermille = 5;
  settings.mPlatformCutOffPermille = 80;
  settings.mDuplicateProcessPermille = 15;
  settings.mOutagePermille = 50;
  settings.mDropPermille = 30;
  settings.mLostResponsePermille = 60;
  settings.mLateWritePermille = 60;
  settings.mSlowWritePermille = 60;
  settings.mRefusedWritePermille = 60;
  settings.mMaxMessageDelay = std::chrono::milliseconds(300);
  settings.mMaxClockDriftPermille = 4;
  for (const named_rule& rule : kNamedRules) {
    if (rule.mName == aRule) {
      settings.mTiming.mRules.*rule.mRule = false;
    }
  }
  if (aRule == kRestores) {
    settings.mRestorePermille = 80;
  }
  if (aRule == "drift-margin") {
    settings.mTiming.mDriftMargin = duration(0);
    settings.mMaxClockDriftPermille = 100;
  }
  return settings;
}

} // namespace plantaindale::sessions
