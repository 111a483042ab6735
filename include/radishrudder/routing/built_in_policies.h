#ifndef RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_
#define RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_

namespace radishrudder::routing {

// Links the built-in policies into the program. Each policy registers itself
// in `PolicyRegistry` from its own source file, but a linker drops an object
// file of a static library that nothing refers to; this function refers to
// all of them. `Router` calls it, so only programs that use the registry
// without a router have to. Further calls have no effect.
void RegisterBuiltInPolicies();

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_
