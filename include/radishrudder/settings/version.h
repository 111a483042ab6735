#ifndef RADISHRUDDER_SETTINGS_VERSION_H_
#define RADISHRUDDER_SETTINGS_VERSION_H_

#include <string_view>

namespace radishrudder::settings {

// Version of the library and of every program.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace radishrudder::settings

#endif  // RADISHRUDDER_SETTINGS_VERSION_H_
