#ifndef RADISHRUDDER_SERVING_SETTINGS_CHANGE_H_
#define RADISHRUDDER_SERVING_SETTINGS_CHANGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace radishrudder::serving {

// Which settings of a running process a new settings file changes.
struct SettingsChange {
  std::vector<std::string> applied{};  // In effect now.
  std::vector<std::string> pending{};  // Take effect at the next start.
};

// Takes over a setting that a running process can change, and records its name
// if the value differs.
template <typename T>
void ApplySetting(std::string_view name,
                  T& current,
                  const T& updated,
                  SettingsChange& change) {
  if (!(current == updated)) {
    current = updated;
    change.applied.emplace_back(name);
  }
}

// Records the name of a setting that takes effect at the next start if the
// value differs.
template <typename T>
void DeferSetting(std::string_view name,
                  const T& current,
                  const T& updated,
                  SettingsChange& change) {
  if (!(current == updated)) {
    change.pending.emplace_back(name);
  }
}

}  // namespace radishrudder::serving

#endif  // RADISHRUDDER_SERVING_SETTINGS_CHANGE_H_
