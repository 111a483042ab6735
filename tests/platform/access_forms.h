#ifndef TESTS_PLATFORM_ACCESS_FORMS_H_
#define TESTS_PLATFORM_ACCESS_FORMS_H_

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::platform {

// Whose calls of /s/ on h.example a configuration allows.
enum class Access { kNobody, kHolderOfNewKey, kEverybody };

// The key of the only workspace before the form, and the one after it.
inline constexpr std::string_view kOldKey = "key-old";
inline constexpr std::string_view kNewKey = "key-new";

// A configuration with a member that limits who may do what, in some form.
struct AccessForm {
  std::string name{};
  std::string routes{};   // Elements of `routes`.
  std::string members{};  // Other members, each preceded by a comma.
  Access access = Access::kNobody;
  bool valid = false;  // Whether it has no errors.
};

void PrintTo(const AccessForm& form, std::ostream* stream);

// The text of a configuration with the service "plain".
std::string ConfigurationText(std::string_view version, const AccessForm& form);

// The configuration in force before: one workspace with the old key.
AccessForm FormInForce();
// One that defines no workspaces.
AccessForm FormWithoutWorkspaces();

// Forms of a configuration that can be read, at least in part.
std::vector<AccessForm> AccessForms();

// Texts that are not a configuration. The old key may have been taken away.
struct UnreadableText {
  std::string name{};
  std::string text{};
};

void PrintTo(const UnreadableText& unreadable, std::ostream* stream);

std::vector<UnreadableText> UnreadableTexts();

}  // namespace radishrudder::platform

#endif  // TESTS_PLATFORM_ACCESS_FORMS_H_
