#ifndef RADISHRUDDER_SERVING_PEER_MEMORY_LOG_H_
#define RADISHRUDDER_SERVING_PEER_MEMORY_LOG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "radishrudder/exchange/memory_account.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::serving {

// Logs that peers had to end for lack of memory or connections, at most once a
// second.
class PeerMemoryLog {
 public:
  explicit PeerMemoryLog(std::string instance)
      : m_instance(std::move(instance)) {}

  void OnTick(kernel::Time now, const exchange::MemoryAccount& account) {
    const std::uint64_t shortages = account.Shortages();
    if (shortages == m_logged || now < m_next) {
      return;
    }
    m_next = now + kInterval;
    logging::Log(logging::kPeersEnded,
                 {{"instance", m_instance},
                  {"ended", std::to_string(shortages - m_logged)},
                  {"bytes", std::to_string(account.BytesHeld())},
                  {"connections", std::to_string(account.Connections())}});
    m_logged = shortages;
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{1000};

  std::string m_instance;
  std::uint64_t m_logged = 0;
  kernel::Time m_next{};
};

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_PEER_MEMORY_LOG_H_
