#ifndef RADISHRUDDER_DAEMON_AGENT_DAEMON_H_
#define RADISHRUDDER_DAEMON_AGENT_DAEMON_H_

#include <memory>
#include <string>
#include <system_error>

#include "radishrudder/daemon/node_settings.h"

namespace radishrudder::daemon {

struct AgentSettings {
  NodeSettings node;
  std::string endpoint_url;
  std::string origin_url;
  std::string store_url;               // Empty: there is no store.
  std::string store_region;            // Region of the origin and the store.
  double origin_bytes_per_second = 0;  // 0: no limit.
  double region_link_bytes_per_second = 0;
  double instance_link_bytes_per_second = 0;
};

std::vector<settings::Option> AgentOptions();
AgentSettings ParseAgentSettings(const settings::Values& values);

// The process beside an endpoint: its only gate. Holds and shares weights,
// gives the endpoint its orders and admits calls.
class AgentDaemon {
 public:
  explicit AgentDaemon(AgentSettings settings);
  ~AgentDaemon();

  std::error_code Start();
  // Refuses new calls and tells the peers that this instance leaves.
  void Drain();
  // True once no call is in progress.
  bool IsIdle() const;
  std::size_t CallsInProgress() const;
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_AGENT_DAEMON_H_
