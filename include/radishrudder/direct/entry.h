#ifndef RADISHRUDDER_DIRECT_ENTRY_H_
#define RADISHRUDDER_DIRECT_ENTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/direct/call.h"
#include "radishrudder/direct/configuration.h"
#include "radishrudder/direct/endpoint_list.h"
#include "radishrudder/kernel/boot_time.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"

namespace radishrudder::direct {

struct EntrySettings {
  std::string name{};  // Of this entry's instance.
  std::string data_centre{};
  std::string region{};
  // Regions of the data centres, for distances.
  std::map<std::string, std::string, std::less<>> regions{};
  // Requests with a key are refused when the configuration can be older.
  std::chrono::milliseconds longest_age{3000};
  // Retries for each call, and how many can be saved up, a service.
  double retry_share = 0.15;
  double retries_saved = 8;
  // From the declaration of a version on, calls may begin on an older one for
  // this long.
  std::chrono::milliseconds version_grace{6500};
  // The same for a version that was declared at an unknown time before this
  // process read it.
  std::chrono::milliseconds old_version_grace{3000};
  // Calls sent during the grace that have not begun so long after it are
  // withdrawn: they wait at an endpoint and would begin on the older version.
  std::chrono::milliseconds version_slack{500};
};

enum class AnswerVerdict { kMine, kForeign, kReject };

// Admits, routes, retries and answers the calls of all services whose
// endpoints are called without a gate beside them. State machine without
// sockets, threads or clocks.
class Entry {
 public:
  Entry(EntrySettings settings, kernel::Random random);
  ~Entry();

  // Returns whether the configuration is in force; older ones are refused.
  bool OnConfiguration(kernel::Time now, Configuration configuration);
  // An answer of the source showed that nothing newer existed when it was
  // asked for at `asked`.
  void OnConfirmed(kernel::BootTime asked);
  // A version of a model was declared, in this moment or at an unknown time
  // before; calls move to it.
  void OnVersionDeclared(kernel::Time now,
                         std::string_view model,
                         std::uint64_t version,
                         bool just_now);
  // The list of endpoints changed.
  void OnEndpoints(kernel::Time now, std::vector<ListedEndpoint> endpoints);

  void OnRequest(kernel::Time now,
                 kernel::BootTime boot_now,
                 CallId call,
                 std::shared_ptr<const CallerRequest> request);
  // A connection is open; the request is about to leave.
  void OnSending(kernel::Time now, CallId call);
  AnswerVerdict OnAnswerHead(kernel::Time now,
                             CallId call,
                             EndpointAnswer answer);
  void OnAnswerBody(kernel::Time now, CallId call, std::string data);
  void OnAnswerEnd(kernel::Time now, CallId call);
  void OnAttemptFailed(kernel::Time now, CallId call, AttemptFailure failure);
  void OnCallerGone(kernel::Time now, CallId call);
  // Applies deadlines; to be called every few tens of milliseconds.
  void OnTick(kernel::Time now);

  // Refuses nothing yet; only ends being ready for new callers.
  void OnDrain();
  // Whether new callers should come here.
  bool IsReady(kernel::BootTime boot_now) const;
  const ConfigurationTable& Configurations() const;
  std::size_t CallsInProgress() const;
  std::vector<Output> TakeOutputs();
  // Says in words where calls of a service would go now and why.
  std::string Explain(kernel::Time now, std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_ENTRY_H_
