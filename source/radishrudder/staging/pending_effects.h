#ifndef SOURCE_RADISHRUDDER_STAGING_PENDING_EFFECTS_H_
#define SOURCE_RADISHRUDDER_STAGING_PENDING_EFFECTS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"

namespace radishrudder::staging {

// Tracks requests to the endpoint that may take effect although no response is
// awaited any more: those without a response in time, and those of an agent
// process that ran before this one.
//
// Such a request counts as done some time after it was given up if the endpoint
// answers other requests: one that is suspended may execute it on resuming.
class PendingEffects {
 public:
  // A request for the version with this manifest that was sent at `sent` was
  // given up; nothing: for whichever version.
  void OnGivenUp(kernel::Time now,
                 kernel::Time sent,
                 std::optional<std::string> manifest_digest);
  // The endpoint answered a request that was sent at `sent`, or did not.
  void OnAnswered(kernel::Time now, kernel::Time sent);
  void OnUnreachable();
  // The process has ended that answered a request sent at `answered`: it had
  // received what was sent until then.
  void OnProcessEnded(kernel::Time answered);

  // Returns whether a request for another version than that with this manifest
  // may take effect at `now` or later.
  bool MayAffectOther(kernel::Time now, std::string_view manifest_digest) const;

 private:
  struct Request {
    std::optional<std::string> manifest_digest{};
    kernel::Time sent{};
    kernel::Time given_up{};
    // The first and the latest answer since then, with none missing between.
    std::optional<kernel::Time> answering_since{};
    kernel::Time answered_last{};
  };
  static bool IsDone(kernel::Time now, const Request& request);

  std::vector<Request> m_requests;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_PENDING_EFFECTS_H_
