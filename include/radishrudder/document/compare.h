#ifndef RADISHRUDDER_DOCUMENT_COMPARE_H_
#define RADISHRUDDER_DOCUMENT_COMPARE_H_

#include <string>
#include <vector>

#include "radishrudder/document/service_document.h"

namespace radishrudder::document {

// Returns whether two documents ask for the same. The order of workspaces and
// of adapters has no meaning.
bool EqualMeaning(const ServiceDocument& first, const ServiceDocument& second);

// Returns one sentence for each effect that replacing `before` by `after`
// has, the weightiest first; nothing if their meaning is equal.
std::vector<std::string> DescribeChanges(const ServiceDocument& before,
                                         const ServiceDocument& after);

}  // namespace radishrudder::document

#endif  // RADISHRUDDER_DOCUMENT_COMPARE_H_
