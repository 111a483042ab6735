#ifndef RADISHRUDDER_DIRECT_PROMPT_PART_H_
#define RADISHRUDDER_DIRECT_PROMPT_PART_H_

#include <string>
#include <string_view>

namespace radishrudder::direct {

// Returns what identifies a prompt part to the entries: its id or, if that has
// more than 64 bytes, "part:" and 32 lower-case hex digits, a truncated SHA-256
// of it. No id has this form, since ids contain no colon.
std::string IdentifyPromptPart(std::string_view id);

}  // namespace radishrudder::direct

#endif  // RADISHRUDDER_DIRECT_PROMPT_PART_H_
