#ifndef RADISHRUDDER_KERNEL_REGISTRY_H_
#define RADISHRUDDER_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishrudder::kernel {

// Named factories of one kind of plug-in. `Factory` is a std::function type.
// A plug-in registers itself through a static `Registration` in its source
// file, so that adding one changes only its folder. Thread-safe.
template <typename Factory>
class Registry {
 public:
  // Returns the process-wide registry of this kind.
  static Registry& Instance() {
    static Registry registry;
    return registry;
  }

  // Adds a factory; if the name is already registered, the first one stays.
  void Add(std::string name, Factory factory) {
    const std::lock_guard lock(m_mutex);
    m_factories.emplace(std::move(name), std::move(factory));
  }

  // Returns the factory registered under `name`, or an empty one.
  Factory Find(std::string_view name) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_factories.find(std::string(name));
    return found == m_factories.end() ? Factory() : found->second;
  }

  // Returns all registered names in byte order.
  std::vector<std::string> Names() const {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& entry : m_factories) {
      names.push_back(entry.first);
    }
    return names;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, Factory> m_factories;
};

// Registers a plug-in on construction, until the process ends.
template <typename Factory>
struct Registration {
  Registration(std::string name, Factory factory) {
    Registry<Factory>::Instance().Add(std::move(name), std::move(factory));
  }
};

}  // namespace radishrudder::kernel

#endif  // RADISHRUDDER_KERNEL_REGISTRY_H_
