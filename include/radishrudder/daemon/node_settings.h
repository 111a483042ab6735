#ifndef RADISHRUDDER_DAEMON_NODE_SETTINGS_H_
#define RADISHRUDDER_DAEMON_NODE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "radishrudder/logging/events.h"
#include "radishrudder/membership/membership.h"
#include "radishrudder/settings/settings.h"

namespace radishrudder::daemon {

// Settings that every daemon has.
struct NodeSettings {
  std::string instance;
  membership::Role role = membership::Role::kAgent;
  std::string service;  // For agents.
  std::string data_centre;
  std::string region;
  std::string listen;  // IP number for every port of the process.
  std::uint16_t peer_port = 0;
  std::uint16_t admin_port = 0;
  std::string configuration_url;
  std::string instances_url;
  std::chrono::milliseconds drain_limit{0};
  std::size_t threads = 2;
  // What callers of all HTTP ports may make the process hold.
  std::size_t caller_memory_bytes = 96U << 20U;
  logging::Level log_level = logging::Level::kInfo;
};

// Returns the options that every daemon has.
std::vector<settings::Option> NodeOptions();

// Fills the common settings from checked values; `peer_port_option` names the
// option of the port for other processes of the system.
NodeSettings ParseNodeSettings(const settings::Values& values,
                               membership::Role role,
                               std::string_view peer_port_option);

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_NODE_SETTINGS_H_
