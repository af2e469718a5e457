#include "plantaindale/node/site_interface.h"

#include "plantaindale/node/own_server_protocol.h"
#include "plantaindale/store/http_object_store.h"

namespace plantaindale {

site_interface
MakeOwnInterface()
{
  site_interface site;
  site.mServers = std::make_unique<own_server_protocol>();
  site.mMakeStore = [](boost::asio::io_context& aContext,
                       const std::string& aPeer) {
    return std::make_unique<http_object_store>(aContext, aPeer);
  };
  return site;
}

} // namespace plantaindale
