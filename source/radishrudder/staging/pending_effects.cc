#include "source/radishrudder/staging/pending_effects.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishrudder::staging {
namespace {

// Time after which a request that was given up is not executed any more: twice
// the time limit of a request.
constexpr std::chrono::milliseconds kSettleTime{2000};
// Time in which an endpoint that answers again executes what it had received.
constexpr std::chrono::milliseconds kResumeTime{500};

}  // namespace

void PendingEffects::OnGivenUp(kernel::Time now,
                               kernel::Time sent,
                               std::optional<std::string> manifest_digest) {
  std::erase_if(m_requests, [&](const Request& request) {
    return IsDone(now, request) ||
           (request.manifest_digest == manifest_digest && request.sent <= sent);
  });
  m_requests.push_back({.manifest_digest = std::move(manifest_digest),
                        .sent = sent,
                        .given_up = now});
}

void PendingEffects::OnProcessEnded(kernel::Time answered) {
  std::erase_if(m_requests, [answered](const Request& request) {
    return request.sent <= answered;
  });
}

void PendingEffects::OnAnswered(kernel::Time now, kernel::Time sent) {
  for (Request& request : m_requests) {
    if (!request.answering_since && sent >= request.given_up) {
      request.answering_since = now;
    }
    request.answered_last = now;
  }
}

void PendingEffects::OnUnreachable() {
  for (Request& request : m_requests) {
    request.answering_since.reset();
  }
}

bool PendingEffects::IsDone(kernel::Time now, const Request& request) {
  return request.answering_since &&
         request.answered_last - *request.answering_since >= kResumeTime &&
         now - request.given_up >= kSettleTime;
}

bool PendingEffects::MayAffectOther(kernel::Time now,
                                    std::string_view manifest_digest) const {
  return std::ranges::any_of(m_requests, [&](const Request& request) {
    return request.manifest_digest != manifest_digest && !IsDone(now, request);
  });
}

}  // namespace radishrudder::staging
