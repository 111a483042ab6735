#include "execution_log.h"

#include <chrono>
#include <utility>

namespace radishrudder::standin {

ExecutionLog::ExecutionLog(const std::string& path) {
  if (!path.empty()) {
    m_file.open(path, std::ios::app);
  }
}

std::size_t ExecutionLog::Add(Execution execution) {
  execution.started_unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  m_executions.push_back(std::move(execution));
  const std::size_t index = m_executions.size() - 1;
  if (m_file.is_open()) {
    m_file << ToJson(index).dump() << std::endl;
  }
  return index;
}

void ExecutionLog::SetState(std::size_t index, std::string state) {
  m_executions[index].state = std::move(state);
}

nlohmann::json ExecutionLog::ToJson() const {
  nlohmann::json list = nlohmann::json::array();
  for (std::size_t i = 0; i < m_executions.size(); ++i) {
    list.push_back(ToJson(i));
  }
  return list;
}

nlohmann::json ExecutionLog::ToJson(std::size_t index) const {
  const Execution& execution = m_executions[index];
  return {{"execution", index + 1},
          {"id", execution.id},
          {"user", execution.user},
          {"key", execution.key},
          {"method", execution.method},
          {"path", execution.path},
          {"digest", execution.digest},
          {"state", execution.state},
          {"started_unix_ms", execution.started_unix_ms}};
}

}  // namespace radishrudder::standin
