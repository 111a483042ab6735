#ifndef SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_

namespace radishrudder::weights {

// Does nothing. A call makes the linker keep the object file that registers the
// built-in selectors.
void LinkBuiltInSelectors();

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_
