#ifndef RADISHRUDDER_WEIGHTS_REQUEST_TABLE_H_
#define RADISHRUDDER_WEIGHTS_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/chunk_bitmap.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

enum class RequestKind {
  kNeighbour,  // From a neighbour that has the chunk.
  kUpstream,   // From an upstream instance in the duty order.
  kSource,     // From the origin or the store.
};

// A request for one chunk.
struct Request {
  std::uint32_t index = 0;
  RequestKind kind = RequestKind::kNeighbour;
  std::string sender;               // Empty for `kSource`.
  Source source = Source::kOrigin;  // For `kSource`.
  bool acknowledged = false;        // The sender announced to send it later.
  kernel::Time deadline{};          // The request fails after this time.
};

// Requests in progress for one version, at most one for each chunk.
class RequestTable {
 public:
  explicit RequestTable(std::size_t chunks = 0) : m_requested(chunks) {}

  void Add(Request request);
  // Returns the request for a chunk, or null.
  Request* Find(std::uint32_t index);
  void Remove(std::uint32_t index);
  // Removes and returns the requests whose deadline has passed.
  std::vector<Request> TakeExpired(kernel::Time now);
  // Removes and returns the requests to one sender.
  std::vector<Request> TakeFrom(std::string_view sender);

  std::size_t CountRequests(RequestKind kind) const;
  std::size_t CountRequests(RequestKind kind, std::string_view sender) const;
  // Returns the chunks that are being requested.
  const ChunkBitmap& Requested() const { return m_requested; }
  std::vector<std::uint32_t> RequestedIndices(RequestKind kind) const;
  kernel::Time EarliestDeadline() const;

 private:
  template <typename Matches>
  std::vector<Request> TakeIf(Matches matches);

  ChunkBitmap m_requested;
  std::map<std::uint32_t, Request> m_requests;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_REQUEST_TABLE_H_
