#ifndef RADISHRUDDER_STANDIN_CONFIGURATION_H_
#define RADISHRUDDER_STANDIN_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>

#include "revision_watch.h"
#include "stand_in.h"

namespace radishrudder::standin {

// Configuration service: documents with revisions, read and watched.
class Configuration : public StandIn {
 public:
  explicit Configuration(Scheduler& scheduler);

 protected:
  void Answer(const http::Request& request,
              const ResponderPointer& responder) override;

 private:
  struct Document {
    std::uint64_t revision = 0;
    bool deleted = false;
    std::string content;
  };
  struct Snapshot {
    std::uint64_t revision = 0;
    std::map<std::string, Document> documents;
  };

  // What readers see: the frozen copy while the service is stale.
  const Snapshot& Visible() const { return m_stale ? m_frozen : m_current; }
  void Read(const http::Request& request, const ResponderPointer& responder);
  void Render(http::Responder& responder, std::uint64_t after) const;
  void Write(const http::Request& request,
             const std::string& service,
             http::Responder& responder);
  void Control(const http::Request& request, http::Responder& responder);
  void CountCall();

  RevisionWatch m_watch;
  Snapshot m_current;
  Snapshot m_frozen;
  bool m_available = true;
  bool m_stale = false;
  std::uint64_t m_calls = 0;
  std::int64_t m_second = 0;
  std::uint64_t m_calls_this_second = 0;
  std::uint64_t m_calls_per_second_max = 0;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_CONFIGURATION_H_
