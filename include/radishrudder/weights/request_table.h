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
  kDuty,       // From the instance before this one in the duty order.
  kOutside,    // From the origin or the store.
};

// One chunk on its way to this instance.
struct Request {
  std::uint32_t index = 0;
  RequestKind kind = RequestKind::kNeighbour;
  std::string sender;               // Empty for `kOutside`.
  Source source = Source::kOrigin;  // For `kOutside`.
  bool acknowledged = false;        // The sender said that it will send later.
  kernel::Time deadline{};          // Silence beyond it is a failure.
};

// The chunks of one version on their way, at most one request for each.
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
  std::vector<Request> TakeOf(std::string_view sender);

  std::size_t CountOf(RequestKind kind) const;
  std::size_t CountOf(RequestKind kind, std::string_view sender) const;
  // Bits of the chunks that are on their way.
  const ChunkBitmap& Requested() const { return m_requested; }
  std::vector<std::uint32_t> IndicesOf(RequestKind kind) const;
  kernel::Time EarliestDeadline() const;

 private:
  template <typename Matches>
  std::vector<Request> TakeIf(Matches matches);

  ChunkBitmap m_requested;
  std::map<std::uint32_t, Request> m_requests;
};

}  // namespace radishrudder::weights

#endif  // RADISHRUDDER_WEIGHTS_REQUEST_TABLE_H_
