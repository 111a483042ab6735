#ifndef TESTS_PLATFORM_RUNNING_PROGRAM_H_
#define TESTS_PLATFORM_RUNNING_PROGRAM_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishrudder::platform {

// A program of this project as a separate process. Its log is written to a
// file. The destructor kills the process.
class RunningProgram {
 public:
  // One of the platform's programs, `role` "entry" or "agent", with a settings
  // file of its own. Does not start the process.
  explicit RunningProgram(std::string_view role);
  // Another program. Does not start the process.
  RunningProgram(std::string_view program, std::vector<std::string> arguments);
  ~RunningProgram();
  RunningProgram(const RunningProgram&) = delete;
  RunningProgram& operator=(const RunningProgram&) = delete;

  // Text of settings that the process can start with. `bounds` holds the
  // members of `bounds`, for example `"revoke_ms": 4000`.
  std::string SettingsText(std::string_view bounds) const;
  // Addresses of the settings.
  std::string CallersAddress() const { return Address(kCallersPort); }
  std::string ReadinessAddress() const { return Address(kReadinessPort); }
  std::string ControlAddress() const { return Address(kControlPort); }
  std::string PeersAddress() const { return Address(kPeersPort); }
  std::string MetricsAddress() const { return Address(kMetricsPort); }
  std::string StoreAddress() const { return Address(kStorePort); }
  // Adds a flag of the program, for example a port of the addresses above.
  void AddArgument(std::string argument) {
    m_arguments.push_back(std::move(argument));
  }
  // Replaces the settings file; without a text, removes it.
  void WriteSettings(const std::optional<std::string>& text) const;
  void Start();
  void Signal(int number) const;
  // Waits until the log has this many records that contain `text`. Returns
  // whether it came to that within the time.
  bool AwaitLog(std::string_view text,
                std::size_t count,
                std::chrono::milliseconds limit) const;
  // Returns the last record of the log that contains `text`, or nothing.
  std::string LastRecord(std::string_view text) const;
  // Writes what was logged so far to another file.
  void CopyLog(const std::string& path) const;
  // Waits for the end of the process. Returns its exit code, or nothing if a
  // signal ended it or the time is over.
  std::optional<int> AwaitExit(std::chrono::milliseconds limit);
  bool IsRunning();
  // Memory of the process that is in use; 0 if it has ended.
  std::size_t ResidentBytes() const;
  // The most memory that the process has used so far; 0 if it has ended.
  std::size_t PeakResidentBytes() const;
  // Bytes that the system has received for the listeners' connections and the
  // process has not read.
  std::size_t UnreadBytes() const;
  std::size_t OpenDescriptors() const;
  std::size_t OpenSockets() const;
  // Returns how many records of the log contain `text`.
  std::size_t CountRecords(std::string_view text) const;
  std::size_t LogBytes() const { return ReadLog().size(); }

 private:
  // Offsets from the first port.
  static constexpr int kCallersPort = 0;
  static constexpr int kReadinessPort = 1;
  static constexpr int kControlPort = 2;
  static constexpr int kPeersPort = 3;
  static constexpr int kMetricsPort = 4;
  static constexpr int kStorePort = 5;

  std::string Address(int offset) const;
  std::string ReadLog() const;

  std::string m_program;  // File name.
  std::string m_directory;
  std::vector<std::string> m_arguments;
  int m_ports_lock = -1;  // Handle of the lock on the ports.
  int m_first_port = 0;
  pid_t m_pid = -1;
  std::optional<int> m_status{};  // As `waitpid` gives it.
};

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_RUNNING_PROGRAM_H_
