#include "radishrudder/daemon/published_document.h"

#include "radishrudder/kernel/findings.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {

std::optional<document::ServiceDocument> ParsePublished(
    const dissemination::PublishedDocument& published) {
  kernel::Findings findings;
  std::optional<document::ServiceDocument> document =
      document::Parse(published.service, published.content, findings);
  if (document && document->service != published.service) {
    findings.Error({published.service, 0, 0, "/service"},
                   "\"" + document->service + "\" is another team's service",
                   "\"" + published.service + "\"");
    document.reset();
  }
  const std::string revision = std::to_string(published.revision);
  if (!document) {
    logging::Log(logging::kDocumentRejected, {{"service", published.service},
                                              {"revision", revision},
                                              {"findings", Format(findings)}});
    return std::nullopt;
  }
  logging::Log(logging::kDocumentInForce,
               {{"service", published.service}, {"revision", revision}});
  return document;
}

}  // namespace radishrudder::daemon
