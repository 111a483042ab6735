#ifndef RADISHRUDDER_SOURCE_SETTINGS_VALUE_CHECK_H_
#define RADISHRUDDER_SOURCE_SETTINGS_VALUE_CHECK_H_

#include <string>
#include <string_view>

#include "radishrudder/settings/settings.h"

namespace radishrudder::settings {

// Returns whether `value` is valid for `option`.
bool IsValid(const Option& option, std::string_view value);

// Describes the valid values of `option` in words.
std::string ValidValues(const Option& option);

}  // namespace radishrudder::settings

#endif  // RADISHRUDDER_SOURCE_SETTINGS_VALUE_CHECK_H_
