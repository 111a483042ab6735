#include "radishrudder/direct/request_memory.h"

#include <string>
#include <string_view>

namespace radishrudder::direct {
namespace {

// The call, its session and the headers that the entry adds.
constexpr std::size_t kCallBytes = 4096;
// The head that is sent is a string that grows to up to this many times its
// size.
constexpr std::size_t kStringGrowth = 2;
constexpr std::string_view kHeaderSeparators = ": \r\n";

std::size_t HeapBytes(const std::string& text) {
  static const std::size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() : 0;
}

}  // namespace

std::size_t MemoryInProgress(const CallerRequest& request) {
  std::size_t bytes =
      kCallBytes + request.body.capacity() +
      request.forwarded_headers.capacity() * sizeof(http::Header) +
      request.prompt_parts.capacity() * sizeof(std::string);
  for (const std::string* text :
       {&request.method, &request.target, &request.path, &request.host,
        &request.attempt_id, &request.key, &request.model}) {
    bytes += HeapBytes(*text);
  }
  std::size_t sent_bytes = request.target.size() + request.host.size();
  for (const http::Header& header : request.forwarded_headers) {
    bytes += HeapBytes(header.name) + HeapBytes(header.value);
    sent_bytes +=
        header.name.size() + header.value.size() + kHeaderSeparators.size();
  }
  for (const std::string& part : request.prompt_parts) {
    bytes += HeapBytes(part);
  }
  return bytes + kStringGrowth * sent_bytes;
}

}  // namespace radishrudder::direct
