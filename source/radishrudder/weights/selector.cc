#include "radishrudder/weights/selector.h"

#include "built_in_selectors.h"

namespace radishrudder::weights {

ChunkSelector FindSelector(std::string_view name) {
  LinkBuiltInSelectors();
  return kernel::Registry<ChunkSelector>::Instance().Find(name);
}

}  // namespace radishrudder::weights
