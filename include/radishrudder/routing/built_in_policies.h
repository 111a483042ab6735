#ifndef RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_
#define RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_

namespace radishrudder::routing {

// Keeps the policies of this library linked in. Each of them registers itself
// in `PolicyRegistry` from its own source file, but a linker drops an object
// file of a static library that nothing refers to; this function refers to
// all of them. `Router` calls it, so only programs that use the registry
// without a router need to. Calling it again has no effect.
void RegisterBuiltInPolicies();

}  // namespace radishrudder::routing

#endif  // RADISHRUDDER_ROUTING_BUILT_IN_POLICIES_H_
