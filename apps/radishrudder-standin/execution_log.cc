#include "execution_log.h"

#include <chrono>
#include <utility>

namespace radishrudder::standin {

std::size_t ExecutionLog::Add(Execution execution) {
  execution.started_unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  m_executions.push_back(std::move(execution));
  return m_executions.size() - 1;
}

void ExecutionLog::SetState(std::size_t index, std::string state) {
  m_executions[index].state = std::move(state);
}

nlohmann::json ExecutionLog::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (std::size_t i = 0; i < m_executions.size(); ++i) {
    const Execution& execution = m_executions[i];
    list.push_back({{"execution", i + 1},
                    {"id", execution.id},
                    {"user", execution.user},
                    {"key", execution.key},
                    {"method", execution.method},
                    {"path", execution.path},
                    {"digest", execution.digest},
                    {"state", execution.state},
                    {"started_unix_ms", execution.started_unix_ms}});
  }
  return list;
}

}  // namespace radishrudder::standin
