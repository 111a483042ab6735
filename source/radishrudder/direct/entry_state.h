#ifndef SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_
#define SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/direct/entry.h"
#include "radishrudder/direct/event_splitter.h"
#include "radishrudder/direct/source_age.h"
#include "source/radishrudder/direct/service_pool.h"

namespace radishrudder::direct {

// The attempt in progress of a call.
struct CurrentAttempt {
  std::string endpoint{};
  std::uint64_t incarnation = 0;
  bool sent = false;                // Bytes may have left.
  std::uint64_t model_version = 0;  // Of the endpoint when it was chosen.
  kernel::Time started{};
  kernel::Duration first_byte{};
  kernel::Time progress{};  // Its start, or the last whole event.
  std::optional<EndpointAnswer> answer{};
  std::string body{};  // Held until the answer is whole.
  bool event_seen = false;
};

// A caller's request that has no final answer yet.
struct Call {
  CallId id = 0;
  std::shared_ptr<const CallerRequest> request{};
  RouteRule route{};
  std::string service{};
  std::string workspace{};
  std::uint32_t priority = 0;
  kernel::Time deadline{};
  std::chrono::milliseconds configuration_age{0};
  std::uint32_t attempts = 0;     // Whose bytes may have left.
  std::uint32_t unreachable = 0;  // Endpoints without a connection.
  bool may_have_run = false;      // By an attempt that has ended.
  std::vector<std::string> excluded{};
  std::optional<CurrentAttempt> attempt{};
  bool begun = false;  // The caller has the head of an answer.
  EventSplitter events{};
  std::optional<std::uint64_t> version{};  // Of the answer that was begun.
  std::string detail{};
};

struct Entry::State {
  State(EntrySettings given, kernel::Random random);

  // Answers of one's own.
  void Refuse(kernel::Time now,
              const CallerRequest& request,
              CallId id,
              int status,
              Reason reason);
  void End(kernel::Time now, Call& call, int status, Reason reason);
  // The final answer of a call that no attempt can serve any more.
  void GiveUp(kernel::Time now, Call& call, Reason reason);

  void StartAttempt(kernel::Time now, Call& call, bool only_with_room);
  // An attempt ended without a whole answer of the endpoint.
  void AfterRefusal(kernel::Time now, Call& call, routing::Refusal refusal);
  void AfterFailure(kernel::Time now, Call& call, Reason reason);
  bool MayTryAgain(kernel::Time now, Call& call);
  // The time that is left for another attempt is too short.
  bool IsTooLate(kernel::Time now, const Call& call) const;
  void TakeStreamData(kernel::Time now, Call& call, std::string_view data);
  void CheckTime(kernel::Time now, Call& call);
  // Whether an attempt could still begin on a version that is out of force.
  bool IsOutdated(kernel::Time now, const Call& call);
  // Ends an attempt that has shown nothing, and makes another where it may.
  void Withdraw(kernel::Time now, Call& call, Reason reason);
  bool IsStream(const Call& call) const;
  // Whether the runner's own failure may be followed by another attempt.
  bool MayRepeatAfter(kernel::Time now, Call& call, int status);

  std::string ChooseService(const RouteRule& route);
  ServicePool& Pool(std::string_view service);
  void Configure(kernel::Time now);
  void RequireVersions(kernel::Time now);
  void Distribute(kernel::Time now);
  Call* Find(CallId id);
  routing::EndpointRun RunOf(const CurrentAttempt& attempt) const {
    return {attempt.endpoint, attempt.incarnation};
  }
  void Emit(Output output) { outputs.push_back(std::move(output)); }
  void Tell(kernel::Time now,
            const Call& call,
            Note::Kind kind,
            int status,
            Reason reason);
  std::chrono::milliseconds RetryAfter();

  struct DeclaredVersion {
    std::uint64_t version = 0;
    kernel::Time required_at{};
  };

  EntrySettings settings;
  kernel::Random random;
  ConfigurationTable configurations;
  SourceAge age;
  bool endpoints_known = false;
  bool draining = false;
  std::vector<ListedEndpoint> endpoints;
  std::map<std::string, std::unique_ptr<ServicePool>, std::less<>> pools;
  // By model, the versions whose grace is not over, oldest first.
  std::map<std::string, std::vector<DeclaredVersion>, std::less<>> declared;
  std::map<CallId, Call> calls;
  std::vector<CallId> ended;  // Erased at the end of an input.
  std::vector<Output> outputs;
};

}  // namespace radishrudder::direct

#endif  // SOURCE_RADISHRUDDER_DIRECT_ENTRY_STATE_H_
