// deployment_interface adapts a node to its environment: the header names, the
// protocol of the backend servers and the client of the store.
// MakeDefaultInterface returns the built-in one.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "plantaindale/node/server_protocol.h"
#include "plantaindale/request/http_header_names.h"
#include "plantaindale/store/object_store.h"
#include <boost/asio/io_context.hpp>

namespace plantaindale {

struct deployment_interface
{
  http_header_names mHeaderNames;
  std::unique_ptr<server_protocol> mServers;
  // Creates a client of the store at `IP:PORT`, for fibers of the context. The
  // time is that within which an evacuation must be known; 0: there are none.
  std::function<std::unique_ptr<object_store>(boost::asio::io_context&,
                                              const std::string&,
                                              std::chrono::milliseconds)>
    mMakeStore;
};

deployment_interface
MakeDefaultInterface();

} // namespace plantaindale
