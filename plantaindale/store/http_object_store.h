// http_object_store is a client of the platform's object store over HTTP and
// JSON:
//
//   GET  /objects                      list with the store's revision
//   GET  /objects/KIND/NAME            one object
//   PUT  /objects/KIND/NAME?base=R     conditional write; 409 on conflict
//   GET  /watch?after=R&wait_ms=W      changes; 410 if R is too old
//
// An object is {"metadata":{"kind","name","revision"},"spec":{...}}.
#pragma once

#include <string>

#include "plantaindale/store/object_store.h"
#include <boost/asio/io_context.hpp>

namespace plantaindale {

class http_object_store : public object_store
{
public:
  // `aContext` is the io_context of the thread whose fibers make the calls.
  // `aPeer` is the platform's address, IP:PORT.
  http_object_store(boost::asio::io_context& aContext, std::string aPeer);

  absl::StatusOr<object_delta> List() override;
  absl::StatusOr<object_delta> Watch(std::int64_t aAfter) override;
  absl::StatusOr<object_delta> AwaitConfiguration(duration aTime) override;
  absl::StatusOr<stored_object> Get(std::string_view aKind,
                                    std::string_view aName) override;
  absl::StatusOr<stored_object> Write(const conditional_write& aWrite) override;

private:
  boost::asio::io_context& mContext;
  std::string mPeer;
};

// Serializes an object or a list of changes to the JSON form above. Bodies are
// copied as they are.
std::string
Serialize(const stored_object& aObject);
std::string
Serialize(const object_delta& aDelta);

} // namespace plantaindale
