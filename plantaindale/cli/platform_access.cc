#include "plantaindale/cli/platform_access.h"

#include <thread>

#include "plantaindale/base/error.h"
#include "plantaindale/net/fiber_scheduler.h"
#include "plantaindale/store/http_object_store.h"

namespace plantaindale {

int
RunWithStore(const std::string& aPeer,
             const std::function<int(object_store&)>& aCallback)
{
  int result = 0;
  // It outlives the thread, whose fiber scheduler refers to it to the end.
  boost::asio::io_context context(1);
  std::thread([&] {
    InstallFiberScheduler(context);
    http_object_store store(context, aPeer);
    result = aCallback(store);
  }).join();
  return result;
}

absl::StatusOr<cluster_view>
ReadClusterView(const std::string& aPeer)
{
  absl::StatusOr<cluster_view> view = absl::UnknownError("not read");
  RunWithStore(aPeer, [&](object_store& aStore) {
    auto list = aStore.List();
    if (!list.ok()) {
      view = list.status();
      return 0;
    }
    view = cluster_view();
    view->Apply(*list, boot_clock::now());
    return 0;
  });
  return view;
}

absl::StatusOr<std::string>
FindAdminAddress(const std::string& aPeer, const std::string& aNode)
{
  auto view = ReadClusterView(aPeer);
  if (!view.ok()) {
    return view.status();
  }
  const node_record* record = view->FindNode(aNode);
  if (record == nullptr) {
    return MakeError(absl::StatusCode::kNotFound,
                     "find_node",
                     aNode,
                     "the platform knows no such node");
  }
  return record->mAddresses.mAdmin;
}

} // namespace plantaindale
