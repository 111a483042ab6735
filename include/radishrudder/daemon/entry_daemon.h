#ifndef RADISHRUDDER_DAEMON_ENTRY_DAEMON_H_
#define RADISHRUDDER_DAEMON_ENTRY_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include "radishrudder/daemon/node_settings.h"

namespace radishrudder::daemon {

struct EntrySettings {
  NodeSettings node;
  std::uint16_t port = 0;  // For callers.
  std::size_t shards = 4;
  std::size_t http_threads = 2;
};

std::vector<settings::Option> EntryOptions();
EntrySettings ParseEntrySettings(const settings::Values& values);

// The process that takes callers' HTTP behind the platform's balancer: admits,
// routes, retries and streams answers back.
class EntryDaemon {
 public:
  explicit EntryDaemon(EntrySettings settings);
  ~EntryDaemon();

  std::error_code Start();
  // Answers new calls with a confirmed not-run; those in progress go on.
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

#endif  // RADISHRUDDER_DAEMON_ENTRY_DAEMON_H_
