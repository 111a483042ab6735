#ifndef RADISHRUDDER_STANDIN_EXECUTION_LOG_H_
#define RADISHRUDDER_STANDIN_EXECUTION_LOG_H_

#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace radishrudder::standin {

// One call that a stand-in has run or runs.
struct Execution {
  std::string id = {};
  std::string user = {};    // Of a chat completion.
  std::string key = {};     // Idempotency-Key of the call.
  std::string method = {};  // Of a plain call.
  std::string path = {};
  std::string digest = {};        // Of the weights, when it began.
  std::string state = "running";  // Or "complete" or "cancelled".
  std::int64_t started_unix_ms = 0;
};

// Every execution since the start, in order.
class ExecutionLog {
 public:
  // Also appends each execution, when it begins, as a line of JSON to the file
  // `path`, which outlives a killed stand-in. Empty: no file.
  explicit ExecutionLog(const std::string& path);

  // Returns the index of a new one, with its start set to now.
  std::size_t Add(Execution execution);
  void SetState(std::size_t index, std::string state);
  std::size_t Count() const { return m_executions.size(); }
  nlohmann::json ToJson() const;

 private:
  nlohmann::json ToJson(std::size_t index) const;

  std::ofstream m_file;
  std::vector<Execution> m_executions;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_EXECUTION_LOG_H_
