#ifndef TESTS_PLATFORM_PLATFORM_STANDIN_H_
#define TESTS_PLATFORM_PLATFORM_STANDIN_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "radishrudder/exchange/caller_server.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::platform {

struct StandinEntry {
  std::string key{};
  std::string value{};
};

// How the stand-in's endpoint differs from a plain one.
struct StandinEndpoint {
  std::string ip = "127.0.0.1";
  int slots = 32;  // As listed; more requests are executed all the same.
  // Members of the service in the configuration and of the endpoint in the
  // list, each preceded by a comma.
  std::string service_members{};
  std::string listed_members{};
  std::string load_header{};  // Value in responses; empty: no header.
  std::string report{};       // Body of the response to GET /report.
};

// How the stand-in's store fails a watch that waits.
enum class WatchFault {
  kNone,
  kCut,          // Resets the connection.
  kUnavailable,  // Answers 503.
  kBrokenOff,    // Ends the connection within the answer.
  kHistoryGone,  // Answers 410.
  kNoAnswer
};

// One execution of a call by the stand-in's endpoint.
struct StandinRun {
  std::chrono::steady_clock::time_point began{};
  // When the endpoint answered, or noticed that the connection had ended.
  std::optional<std::chrono::steady_clock::time_point> ended{};
};

// The platform's store with one configuration and one endpoint, and this
// endpoint, on a thread of their own. Calls of /s/ are plain; a call of /t/MS
// is answered with a stream of events that takes MS milliseconds. Calls of
// /n/MS, answered after this time, and streams of /u/MS may not be repeated.
// The answer to /n/MS?large is of 32 MB, that to /n/MS?4MB of 4 MB;
// /n/MS?refuse is refused as not executed.
class PlatformStandin {
 public:
  // `more_entries`: other entries of the store. `watch_bodies`: bodies of the
  // first watches.
  explicit PlatformStandin(std::string_view store_address,
                           std::vector<StandinEntry> more_entries = {},
                           std::vector<std::string> watch_bodies = {},
                           StandinEndpoint endpoint = {});
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  // Changes the store; watches return the change.
  void Write(StandinEntry entry);
  void Remove(std::string key);
  // From now on, one of `interval` watches of each prefix fails while it waits.
  // Those that wait for a shorter time than the stand-in takes do not fail.
  void FailWatches(std::vector<std::string> prefixes,
                   WatchFault fault,
                   std::size_t interval);
  const std::string& EndpointAddress() const { return m_endpoint_address; }
  // How often the endpoint has begun to run the call with this id.
  int Runs(const std::string& attempt_id) const;
  std::vector<StandinRun> RunsOf(const std::string& attempt_id) const;

 private:
  using Exchange = std::shared_ptr<exchange::CallerExchange>;

  struct Change {
    std::uint64_t revision = 0;
    std::string key{};
    std::string event{};
  };

  void ApplyWrite(const StandinEntry& entry);
  void ApplyRemoval(const std::string& key);
  // Returns how the next watch of the prefix fails.
  WatchFault NextFault(std::string_view prefix);
  void FailLater(WatchFault fault, const Exchange& caller);
  // Body of an answer to a request for a page of the prefix, of at most 500
  // items and 1 MB of values, or one item.
  std::string PageBody(std::string_view prefix, std::string_view target) const;
  // Body of an answer to a watch of the prefix.
  std::string WatchBody(std::string_view prefix, std::uint64_t after) const;
  void AnswerStore(const exchange::ReceivedRequest& request,
                   const Exchange& caller);
  void AnswerCall(const exchange::ReceivedRequest& request,
                  const Exchange& caller);
  // Returns the number of the run among those of the attempt.
  std::size_t NoteRun(const std::string& attempt_id);
  void NoteRunEnded(const std::string& attempt_id, std::size_t run);
  // `done` is called after the answer's end, also if the caller has gone.
  void StreamEvents(const Exchange& caller,
                    int event,
                    kernel::Time end,
                    const std::function<void()>& done);
  void ReplyLater(std::chrono::milliseconds delay,
                  const Exchange& caller,
                  exchange::AnswerHead head,
                  std::string body,
                  std::function<void()> done = nullptr);

  // The servers note the ends of runs until they are destroyed.
  mutable std::mutex m_runs_mutex;
  std::map<std::string, std::vector<StandinRun>> m_runs;  // By attempt id.
  asio::io_context m_context{1};
  exchange::CallerServer m_store;
  exchange::CallerServer m_endpoint;
  StandinEndpoint m_endpoint_settings;
  std::string m_endpoint_address;
  std::vector<StandinEntry> m_entries;
  std::vector<std::string> m_watch_bodies;
  std::size_t m_watches = 0;
  WatchFault m_fault = WatchFault::kNone;
  std::size_t m_fault_interval = 1;
  // Watches since faults began, by the prefixes that have them.
  std::map<std::string, std::size_t, std::less<>> m_fault_counts;
  std::vector<Exchange> m_unanswered;
  std::uint64_t m_revision = 9;
  std::vector<Change> m_changes;
  std::thread m_thread;
};

// Sends one request on a kept connection and waits for its answer.
class StandinCaller {
 public:
  enum class Result {
    kAnswered,
    kNotConnected,
    kNotSent,  // The connection ended before the request was sent whole.
    kLost
  };
  using Time = std::chrono::steady_clock::time_point;

  explicit StandinCaller(std::string_view address) : m_address(address) {}
  ~StandinCaller();
  StandinCaller(const StandinCaller&) = delete;
  StandinCaller& operator=(const StandinCaller&) = delete;

  // Opens a connection if none is kept.
  Result Call(std::string_view request);
  // Sends the request in parts, with a pause between them.
  Result CallInParts(std::span<const std::string_view> parts,
                     std::chrono::milliseconds pause);
  int Status() const { return m_status; }
  bool IsConnected() const { return m_socket >= 0; }
  // When the last byte of a request was sent, and when its answer or its
  // connection ended.
  Time SentAt() const { return m_sent_at; }
  Time EndedAt() const { return m_ended_at; }

 private:
  // Returns whether all parts were sent.
  bool Send(std::span<const std::string_view> parts,
            std::chrono::milliseconds pause) const;
  // Returns whether a whole answer came.
  bool ReadAnswer();

  std::string m_address;
  int m_status = 0;
  int m_socket = -1;
  Time m_sent_at{};
  Time m_ended_at{};
};

// Sends parts on a connection of their own, with a pause between them. Returns
// what came back before the connection ended or was silent for the limit.
std::string SendParts(std::string_view address,
                      std::span<const std::string_view> parts,
                      std::chrono::milliseconds pause,
                      std::chrono::milliseconds limit);

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_PLATFORM_STANDIN_H_
