#include "radishrudder/daemon/node_settings.h"

namespace radishrudder::daemon {
namespace {

using settings::Option;
using settings::ValueKind;

constexpr std::int64_t kMaximumPort = 65'535;
constexpr std::int64_t kMaximumThreads = 64;
// A single request of the largest size fits.
constexpr std::int64_t kMinimumMegabytes = 40;
constexpr std::int64_t kMaximumMegabytes = 1 << 20;
constexpr unsigned kMegabyteBits = 20;
constexpr std::int64_t kMaximumDrainMilliseconds = 3'600'000;

Option Text(std::string name, std::string help) {
  Option option;
  option.name = std::move(name);
  option.help = std::move(help);
  option.required = true;
  return option;
}

}  // namespace

std::vector<Option> NodeOptions() {
  Option listen{"listen", ValueKind::kAddress,
                "IP number on which every port of this process listens.",
                "127.0.0.1"};
  Option admin{"admin-port", ValueKind::kInteger,
               "Port of status, metrics and health; 0 takes a free one.", "0"};
  admin.maximum = kMaximumPort;
  Option configuration =
      Text("configuration", "URL of the platform's configuration service.");
  configuration.kind = ValueKind::kUrl;
  Option instances =
      Text("instances", "URL of the platform's list of instances.");
  instances.kind = ValueKind::kUrl;
  Option drain{"drain-limit-milliseconds", ValueKind::kMilliseconds,
               "Longest time that a planned stop waits for calls in progress, "
               "in milliseconds.",
               "120000"};
  drain.maximum = kMaximumDrainMilliseconds;
  Option threads{"threads", ValueKind::kInteger,
                 "Number of threads that run the state machines.", "2"};
  threads.minimum = 1;
  threads.maximum = kMaximumThreads;
  Option memory{"caller-memory-megabytes", ValueKind::kInteger,
                "Memory that callers of all HTTP ports together may make the "
                "process hold, in units of 1,048,576 bytes.",
                "96"};
  memory.minimum = kMinimumMegabytes;
  memory.maximum = kMaximumMegabytes;
  Option level{"log-level", ValueKind::kText,
               "Least level of log events that are written.", "info"};
  level.choices = {"debug", "info", "warning", "error"};
  return {Text("instance", "Name of this instance in the platform's list."),
          Text("data-centre", "Data centre of this instance."),
          Text("region", "Region of this instance."),
          listen,
          admin,
          configuration,
          instances,
          drain,
          threads,
          memory,
          level};
}

NodeSettings ParseNodeSettings(const settings::Values& values,
                               membership::Role role,
                               std::string_view peer_port_option) {
  NodeSettings node;
  node.instance = values.Text("instance");
  node.role = role;
  node.data_centre = values.Text("data-centre");
  node.region = values.Text("region");
  node.listen = values.Text("listen");
  node.peer_port = static_cast<std::uint16_t>(values.Integer(peer_port_option));
  node.admin_port = static_cast<std::uint16_t>(values.Integer("admin-port"));
  node.configuration_url = values.Text("configuration");
  node.instances_url = values.Text("instances");
  node.drain_limit =
      std::chrono::milliseconds(values.Integer("drain-limit-milliseconds"));
  node.threads = static_cast<std::size_t>(values.Integer("threads"));
  node.caller_memory_bytes =
      static_cast<std::size_t>(values.Integer("caller-memory-megabytes"))
      << kMegabyteBits;
  node.log_level = logging::ParseLevel(values.Text("log-level"));
  return node;
}

}  // namespace radishrudder::daemon
