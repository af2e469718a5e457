// cluster_configuration is the versioned document in which operators define
// services, the location of keys in requests, and routes. Nodes use the version
// with the highest number they have received and never return to an older one.
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

// Defines which part of a request holds its key.
struct key_rule
{
  enum class place
  {
    kPathSegment,
    kHeader,
    kQuery
  };
  place mPlace = place::kPathSegment;
  int mSegment = 0;  // index of the path segment, from 0
  std::string mName; // of the header or query parameter
  // If positive, keys are integers in [0, mNumbers) and shards are ranges of
  // them. If 0, keys are text and are assigned to shards by hash.
  int mNumbers = 0;
};

// Relative weights of the costs that shard placement minimizes.
struct placement_weights
{
  double mUnavailable = 1;
  double mImbalance = 1;
  double mChurn = 1;
};

struct service_configuration
{
  std::string mName;
  // A route with the name of the service is added if mPathPrefix is not empty.
  std::string mHost; // empty: any host
  std::string mPathPrefix;
  std::optional<key_rule> mKey; // not set: any server may answer
  int mShards = 0;              // only for services with keys
  std::chrono::milliseconds mDeadline{ 10000 };
  std::int64_t mLargestBody = 0; // bytes; 0: no limit
  bool mIdempotentPosts = false; // POST may be retried after an unknown outcome
  // Maximum connections to each server; 0: as the server announces.
  int mConnections = 0;
  // How long a server is cold after its start, unless it says so itself, and
  // how many requests a second may be started at it then; 0: no limit.
  std::chrono::milliseconds mColdStart{ 0 };
  double mColdStartsPerSecond = 0;
  placement_weights mWeights;
};

enum class lease_mode
{
  kWitnesses, // renewed by witnesses; the platform is used for changes only
  kPlatform   // renewed in the platform's store
};

// An entry of the history of accepted patches.
struct accepted_patch
{
  std::int64_t mNumber = 0;
  std::string mPatchId;
};

struct cluster_configuration
{
  std::int64_t mNumber = 0; // 0: no version has been accepted yet
  std::string mPatchId;     // of the patch that created this version
  lease_mode mLeaseMode = lease_mode::kWitnesses;
  std::vector<service_configuration> mServices;
  std::vector<route_configuration> mRoutes; // in order of precedence
  caller_limits mLimits;
  // The document as written by operators, and the revision of its object in
  // the store.
  std::string mDocument = "{}";
  std::int64_t mRevision = 0;
  // The most recent accepted patches, newest last.
  std::vector<accepted_patch> mHistory;

  // Returns the service with this name, or null if there is none.
  const service_configuration* Find(std::string_view aService) const;
  // Returns the matching route with the longest path prefix, or null if no
  // route matches. `aHost` may include a port.
  const route_configuration* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;
};

// A validation error in a document.
struct document_fault
{
  std::string mFieldPath; // dotted path, such as services.board.shards
  std::string mExpected;
};

// Parses a document and appends every validation error to `aFaults`.
cluster_configuration
ParseDocument(const boost::json::value& aDocument,
              std::vector<document_fault>& aFaults);

// Parses the stored form. Errors name the object or the invalid field.
absl::StatusOr<cluster_configuration>
ParseConfiguration(const stored_object& aObject);
// The same for a stored form that is parsed as JSON already.
absl::StatusOr<cluster_configuration>
ParseConfiguration(const boost::json::value& aStored, std::int64_t aRevision);

// Returns the stored form: number, patch id, history and document, as JSON.
std::string
Serialize(const cluster_configuration& aConfiguration);

} // namespace plantaindale
