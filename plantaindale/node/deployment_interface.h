// site_interface is all by which a node meets the installation that it runs
// in: header names, backend servers' calls and the platform's store. The
// project's own is MakeOwnInterface; a platform with other forms brings one.
#pragma once

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
  http_header_names mDialect;
  std::unique_ptr<server_protocol> mServers;
  // Makes the client of the store at IP:PORT, for fibers of the context.
  std::function<std::unique_ptr<object_store>(boost::asio::io_context&,
                                              const std::string&)>
    mMakeStore;
};

deployment_interface
MakeDefaultInterface();

} // namespace plantaindale
