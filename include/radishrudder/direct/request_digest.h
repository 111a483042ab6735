#ifndef RADISHRUDDER_DIRECT_REQUEST_DIGEST_H_
#define RADISHRUDDER_DIRECT_REQUEST_DIGEST_H_

#include <string>
#include <string_view>

#include "radishrudder/direct/call.h"

namespace radishrudder::direct {

// Identifies a request that is sent again: "request:" and 32 lower-case hex
// digits, a truncated SHA-256 of its method, host, target and body and of its
// caller, which is the workspace, or the key if there is none. No id of a
// prompt part has this form, since those contain no colon.
std::string RequestDigest(const CallerRequest& request,
                          std::string_view workspace);

// Whether a signature is a digest of this form.
bool IsRequestDigest(std::string_view signature);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_REQUEST_DIGEST_H_
