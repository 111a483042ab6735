#include "radishrudder/daemon/agent_daemon.h"

namespace radishrudder::daemon {
namespace {

using settings::Option;
using settings::ValueKind;

constexpr std::int64_t kMaximumPort = 65'535;

Option Url(std::string name, std::string help, bool required) {
  Option option{std::move(name), ValueKind::kUrl, std::move(help), ""};
  option.required = required;
  return option;
}

Option Rate(std::string name, std::string help) {
  return {std::move(name), ValueKind::kBytes,
          std::move(help) + ", in bytes a second; 0 sets no limit.", "0"};
}

Option Required(std::string name, std::string help) {
  Option option{std::move(name), ValueKind::kText, std::move(help), ""};
  option.required = true;
  return option;
}

}  // namespace

std::vector<Option> AgentOptions() {
  std::vector<Option> options = NodeOptions();
  Option port{"port", ValueKind::kInteger,
              "Port for the other processes of the system.", "0"};
  port.maximum = kMaximumPort;
  options.push_back(port);
  options.push_back(Required("service", "Service of the endpoint."));
  options.push_back(
      Required("store-region", "Region of the weights origin and the store."));
  options.push_back(Url("endpoint", "URL of the endpoint.", true));
  options.push_back(Url("origin", "URL of the weights origin.", true));
  options.push_back(
      Url("store", "URL of the weight store; empty for none.", false));
  options.push_back(
      Rate("origin-bytes-per-second", "Limit of reads from the origin"));
  options.push_back(Rate("region-link-bytes-per-second",
                         "Limit of transfers to other regions"));
  options.push_back(Rate("instance-link-bytes-per-second",
                         "Limit of transfers of this instance"));
  return options;
}

AgentSettings ParseAgentSettings(const settings::Values& values) {
  AgentSettings agent;
  agent.node = ParseNodeSettings(values, membership::Role::kAgent, "port");
  agent.node.service = values.Text("service");
  agent.endpoint_url = values.Text("endpoint");
  agent.origin_url = values.Text("origin");
  agent.store_url = values.Text("store");
  agent.store_region = values.Text("store-region");
  agent.origin_bytes_per_second =
      static_cast<double>(values.Integer("origin-bytes-per-second"));
  agent.region_link_bytes_per_second =
      static_cast<double>(values.Integer("region-link-bytes-per-second"));
  agent.instance_link_bytes_per_second =
      static_cast<double>(values.Integer("instance-link-bytes-per-second"));
  return agent;
}

}  // namespace radishrudder::daemon
