#ifndef RADISHRUDDER_STANDIN_FILE_SOURCE_H_
#define RADISHRUDDER_STANDIN_FILE_SOURCE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "file_library.h"
#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/token_bucket.h"
#include "send_rate.h"
#include "stand_in.h"

namespace radishrudder::standin {

struct FileSourceSettings {
  std::string directory;
  double bytes_per_second = 0;     // 0: no limit.
  double requests_per_second = 0;  // 0: no limit.
  std::uint64_t seed = 1;          // Of the corrupted answers.
};

// Origin or store of weights: manifests by digest and ranges of files, over a
// link of limited rate.
class FileSource : public StandIn {
 public:
  FileSource(Scheduler& scheduler, const FileSourceSettings& settings);

 protected:
  void Answer(const http::Request& request,
              const ResponderPointer& responder) override;

 private:
  // One answer on its way.
  struct Sending;

  void Serve(const http::Request& request, const ResponderPointer& responder);
  void ServeManifest(const std::string& digest, const ResponderPointer& to);
  void ServeFile(const http::Request& request,
                 const std::string& name,
                 const ResponderPointer& responder);
  void Send(int status, std::string bytes, const ResponderPointer& responder);
  void SendNext(const std::shared_ptr<Sending>& sending);
  void MaybeCorrupt(std::string& bytes);
  void Control(const http::Request& request, http::Responder& responder);

  FileLibrary m_library;
  SendRate m_rate;
  std::optional<kernel::TokenBucket> m_request_limit;
  kernel::Random m_random;
  bool m_available = true;
  double m_corrupt_percent = 0;
  std::uint64_t m_requests = 0;
  std::uint64_t m_bytes = 0;
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_FILE_SOURCE_H_
