#include "sessions/explored_troubles.h"

namespace plantaindale::sessions {
namespace {

struct rule_entry
{
  std::string_view mName;
  bool lease_rules::*mRule;
};

constexpr rule_entry kRules[] = {
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
TroublesWithout(std::string_view aRule)
{
  model_settings settings;
  settings.mKills = 20;
  settings.mFreezes = 60;
  settings.mCuts = 120;
  settings.mMoves = 150;
  settings.mDrains = 5;
  settings.mOffPlatform = 80;
  settings.mTwins = 15;
  settings.mOutages = 50;
  settings.mDrops = 30;
  settings.mLostAnswers = 60;
  settings.mLateEffects = 60;
  settings.mSlowCalls = 60;
  settings.mRefusedCalls = 60;
  settings.mLongestDelay = std::chrono::milliseconds(300);
  settings.mClockDrift = 4;
  for (const rule_entry& rule : kRules) {
    if (rule.mName == aRule) {
      settings.mTiming.mRules.*rule.mRule = false;
    }
  }
  if (aRule == "drift-margin") {
    settings.mTiming.mDriftMargin = duration(0);
    settings.mClockDrift = 100;
  }
  return settings;
}

} // namespace plantaindale::sessions
