#ifndef RADISHRUDDER_STANDIN_INSTANCES_H_
#define RADISHRUDDER_STANDIN_INSTANCES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "revision_watch.h"
#include "stand_in.h"

namespace radishrudder::standin {

// Instance list: always sent whole; changes show after a lag.
class Instances : public StandIn {
 public:
  explicit Instances(Scheduler& scheduler);

 protected:
  void Answer(const http::Request& request,
              const ResponderPointer& responder) override;

 private:
  void Read(const http::Request& request, const ResponderPointer& responder);
  void Render(http::Responder& responder) const;
  void Put(const http::Request& request,
           const std::string& name,
           http::Responder& responder);
  void Delete(const std::string& name, http::Responder& responder);
  void Control(const http::Request& request, http::Responder& responder);
  void ApplyAfterLag(std::function<void()> change);

  RevisionWatch m_watch;
  std::uint64_t m_revision = 0;
  std::map<std::string, nlohmann::json> m_instances;
  bool m_available = true;
  std::chrono::milliseconds m_lag{0};
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_INSTANCES_H_
