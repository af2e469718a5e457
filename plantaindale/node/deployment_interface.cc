#include "plantaindale/node/deployment_interface.h"

#include "plantaindale/node/default_server_protocol.h"
#include "plantaindale/store/http_object_store.h"

namespace plantaindale {

deployment_interface
MakeDefaultInterface()
{
  deployment_interface deployment;
  deployment.mServers = std::make_unique<default_server_protocol>();
  deployment.mMakeStore = [](boost::asio::io_context& aContext,
                             const std::string& aPeer,
                             std::chrono::milliseconds) {
    return std::make_unique<http_object_store>(aContext, aPeer);
  };
  return deployment;
}

} // namespace plantaindale
