#ifndef RADISHRUDDER_DAEMON_PUBLISHED_DOCUMENT_H_
#define RADISHRUDDER_DAEMON_PUBLISHED_DOCUMENT_H_

#include <optional>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/document/service_document.h"

namespace radishrudder::daemon {

// Parses a published document and logs that it is in force. One that has
// errors, or that speaks of a service other than the one it was published for,
// is logged with all findings and not returned: what was in force stays so.
std::optional<document::ServiceDocument> ParsePublished(
    const dissemination::PublishedDocument& published);

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_PUBLISHED_DOCUMENT_H_
