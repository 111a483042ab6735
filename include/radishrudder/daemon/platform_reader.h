#ifndef RADISHRUDDER_DAEMON_PLATFORM_READER_H_
#define RADISHRUDDER_DAEMON_PLATFORM_READER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/http/client.h"
#include "radishrudder/membership/membership.h"

namespace radishrudder::daemon {

// Parses the configuration service's answer. Returns nothing, and says why in
// `problem`, if it is not of the published form. A document that is not is left
// out and named in `problem`; the others hold.
std::optional<dissemination::DocumentReadResult> ParseDocuments(
    std::string_view text,
    std::string& problem);

// Parses the platform's list of instances in the same way.
std::optional<membership::InstanceListResult> ParseInstances(
    std::string_view text,
    std::string& problem);

// Reads and watches the platform's services over HTTP.
class PlatformReader {
 public:
  PlatformReader(http::Client& client,
                 std::string configuration_url,
                 std::string instances_url);

  // Calls `done` once, on the client's thread.
  void ReadDocuments(
      const dissemination::StartDocumentRead& read,
      std::function<void(dissemination::DocumentReadResult)> done);
  void ReadInstances(const membership::StartInstanceListRead& read,
                     std::function<void(membership::InstanceListResult)> done);

 private:
  http::Client& m_client;
  std::string m_configuration_url;
  std::string m_instances_url;
};

}  // namespace radishrudder::daemon

#endif  // RADISHRUDDER_DAEMON_PLATFORM_READER_H_
