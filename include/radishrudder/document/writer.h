#ifndef RADISHRUDDER_DOCUMENT_WRITER_H_
#define RADISHRUDDER_DOCUMENT_WRITER_H_

#include <string>

#include "radishrudder/document/service_document.h"

namespace radishrudder::document {

// Returns a document as JSON, indented, with every default written out. `Parse`
// gives an equal document back.
std::string ToText(const ServiceDocument& document);

}  // namespace radishrudder::document

#endif  // RADISHRUDDER_DOCUMENT_WRITER_H_
