#ifndef SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_
#define SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_

namespace radishrudder::weights {

// Makes the linker keep the registrations of the built-in selectors.
void KeepBuiltInSelectors();

}  // namespace radishrudder::weights

#endif  // SOURCE_RADISHRUDDER_WEIGHTS_BUILT_IN_SELECTORS_H_
