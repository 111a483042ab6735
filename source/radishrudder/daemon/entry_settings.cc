#include "radishrudder/daemon/entry_daemon.h"

namespace radishrudder::daemon {
namespace {

using settings::Option;
using settings::ValueKind;

constexpr std::int64_t kMaximumPort = 65'535;
constexpr std::int64_t kMaximumShards = 64;

}  // namespace

std::vector<Option> EntryOptions() {
  std::vector<Option> options = NodeOptions();
  Option port{"port", ValueKind::kInteger, "Port for callers' HTTP.", "8080"};
  port.maximum = kMaximumPort;
  Option peer_port{"peer-port", ValueKind::kInteger,
                   "Port for the other processes of the system.", "0"};
  peer_port.maximum = kMaximumPort;
  Option shards{"shards", ValueKind::kInteger,
                "Number of shards that the services are spread over.", "4"};
  shards.minimum = 1;
  shards.maximum = kMaximumShards;
  options.push_back(port);
  options.push_back(peer_port);
  options.push_back(shards);
  return options;
}

EntrySettings ParseEntrySettings(const settings::Values& values) {
  EntrySettings entry;
  entry.node = ParseNodeSettings(values, membership::Role::kEntry, "peer-port");
  entry.port = static_cast<std::uint16_t>(values.Integer("port"));
  entry.shards = static_cast<std::size_t>(values.Integer("shards"));
  return entry;
}

}  // namespace radishrudder::daemon
