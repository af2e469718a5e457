// cluster_configuration is the numbered document by which operators say which
// services there are, where their keys stand and how traffic is spread. Nodes
// follow the highest number they have seen and never step back.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "plantaindale/configuration/caller_limits.h"
#include "plantaindale/configuration/route_configuration.h"
#include "plantaindale/store/object_store.h"
#include <boost/json/value.hpp>

namespace plantaindale {

inline constexpr std::string_view kConfigurationName = "current";

// Where in a request its key stands.
struct key_rule
{
  enum class place
  {
    kPathSegment,
    kHeader,
    kQuery
  };
  place mPlace = place::kPathSegment;
  int mSegment = 0;  // counted from 0
  std::string mName; // of the header or query parameter
  // Keys are the numbers from 0 to below this, and shards are ranges of them;
  // 0: keys are text, and fall into shards by hash.
  int mNumbers = 0;
};

// What the users weigh against each other when shards are placed.
struct placement_weights
{
  double mUnavailable = 1;
  double mImbalance = 1;
  double mChurn = 1;
};

struct service_configuration
{
  std::string mName;
  // A route of its own, with the service's name; no prefix: none.
  std::string mHost; // empty: any
  std::string mPathPrefix;
  std::optional<key_rule> mKey; // none: any of its servers may answer
  int mShards = 0;              // of a keyed service
  std::chrono::milliseconds mDeadline{ 10000 };
  std::int64_t mLargestBody = 0; // bytes; 0: no limit
  bool mIdempotentPosts = false; // POST may be run again after an unknown end
  // Connections that each of its servers takes; 0: as the server says.
  int mConnections = 0;
  placement_weights mWeights;
};

enum class lease_mode
{
  kWitnesses, // other nodes vouch; the platform is asked for changes only
  kPlatform   // each lease is renewed in the platform
};

// One accepted patch, for the history.
struct accepted_patch
{
  std::int64_t mNumber = 0;
  std::string mPatchId;
};

struct cluster_configuration
{
  std::int64_t mNumber = 0; // 0: none has been accepted yet
  std::string mPatchId;     // of the patch that made this version
  lease_mode mLeaseMode = lease_mode::kWitnesses;
  std::vector<service_configuration> mServices;
  std::vector<route_configuration> mRoutes;
  caller_limits mLimits;
  // The document as operators wrote it, and the store's revision.
  std::string mDocument = "{}";
  std::int64_t mRevision = 0;
  // The last accepted patches, the newest last.
  std::vector<accepted_patch> mHistory;

  const service_configuration* Find(std::string_view aService) const;
  // The route with the longest prefix that begins the path; null when none
  // does. `aHost` may carry a port.
  const route_configuration* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
};

// One thing wrong with a document, and what was expected there.
struct document_fault
{
  std::string mFieldPath; // such as services.board.shards
  std::string mExpected;
};

// Reads a whole document; every fault is appended to `aFaults`.
cluster_configuration
ParseDocument(const boost::json::value& aDocument,
              std::vector<document_fault>& aFaults);

absl::StatusOr<cluster_configuration>
ParseConfiguration(const stored_object& aObject);

// The stored form: number, patch id and document.
std::string
Serialize(const cluster_configuration& aConfiguration);

} // namespace plantaindale
