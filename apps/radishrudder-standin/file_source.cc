#include "file_source.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "json.h"

namespace radishrudder::standin {
namespace {

constexpr std::size_t kPieceBytes = 16U << 10U;

struct ByteRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;  // Inclusive.
};

// Parses "bytes=FIRST-LAST" within a file of `size` bytes.
std::optional<ByteRange> ParseRange(std::string_view text, std::uint64_t size) {
  constexpr std::string_view kPrefix = "bytes=";
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  const char* end = text.data() + text.size();
  ByteRange range;
  const auto first = std::from_chars(text.data(), end, range.first);
  if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '-') {
    return std::nullopt;
  }
  const auto last = std::from_chars(first.ptr + 1, end, range.last);
  if (last.ec != std::errc{} || range.last < range.first ||
      range.first >= size) {
    return std::nullopt;
  }
  range.last = std::min(range.last, size - 1);
  return range;
}

}  // namespace

struct FileSource::Sending {
  std::string bytes;
  std::size_t sent = 0;
  bool gone = false;
  ResponderPointer responder;
};

FileSource::FileSource(Scheduler& scheduler, const FileSourceSettings& settings)
    : StandIn(scheduler),
      m_library(settings.directory),
      m_rate(settings.bytes_per_second),
      m_random(settings.seed) {
  if (settings.requests_per_second > 0) {
    m_request_limit.emplace(settings.requests_per_second,
                            settings.requests_per_second,
                            kernel::SystemClock{}.Now());
  }
}

void FileSource::Answer(const http::Request& request,
                        const ResponderPointer& responder) {
  if (request.method == "GET" && request.path == "/v1/statistics") {
    ReplyJson(*responder, 200, {{"requests", m_requests}, {"bytes", m_bytes}});
  } else if (request.method == "PUT" && request.path == "/v1/control") {
    Control(request, *responder);
  } else if (request.method == "GET") {
    Serve(request, responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void FileSource::Serve(const http::Request& request,
                       const ResponderPointer& responder) {
  ++m_requests;
  if (!m_available) {
    ReplyProblem(*responder, 503, "the source is unavailable");
    return;
  }
  const kernel::Time now = kernel::SystemClock{}.Now();
  if (m_request_limit && !m_request_limit->TryTake(now, 1)) {
    responder->Reply(429, {{"retry-after", "1"}}, "too many requests\n");
    return;
  }
  const auto path = SplitPath(request.path);
  if (path.size() == 2 && path[0] == "manifests") {
    ServeManifest(path[1], responder);
  } else if (path.size() == 2 && path[0] == "files") {
    ServeFile(request, path[1], responder);
  } else {
    ReplyNotFound(*responder, request);
  }
}

void FileSource::ServeManifest(const std::string& digest,
                               const ResponderPointer& to) {
  const auto text = m_library.FindManifest(digest);
  if (!text) {
    ReplyProblem(*to, 404, "no manifest has the digest " + digest);
    return;
  }
  Send(200, *text, to);
}

void FileSource::ServeFile(const http::Request& request,
                           const std::string& name,
                           const ResponderPointer& responder) {
  const auto file = m_library.FindFile(name);
  if (!file) {
    ReplyProblem(*responder, 404, "the file " + name + " does not exist");
    return;
  }
  const auto header = http::FindHeader(request.headers, "range");
  const auto range = ParseRange(header, file->size());
  if (!range) {
    ReplyProblem(*responder, 416,
                 "the range \"" + std::string(header) + "\" of " + name +
                     " is not bytes=FIRST-LAST within " +
                     std::to_string(file->size()) + " bytes");
    return;
  }
  std::string bytes =
      file->substr(range->first, range->last - range->first + 1);
  MaybeCorrupt(bytes);
  Send(206, std::move(bytes), responder);
}

void FileSource::Send(int status,
                      std::string bytes,
                      const ResponderPointer& responder) {
  responder->Begin(status, {{"content-type", "application/octet-stream"}});
  auto sending = std::make_shared<Sending>();
  sending->bytes = std::move(bytes);
  sending->responder = responder;
  OnGone(*responder, [sending] { sending->gone = true; });
  SendNext(sending);
}

void FileSource::SendNext(const std::shared_ptr<Sending>& sending) {
  const std::size_t piece =
      std::min(kPieceBytes, sending->bytes.size() - sending->sent);
  if (sending->gone) {
    return;
  }
  if (piece == 0) {
    sending->responder->Finish();
    return;
  }
  const auto wait = m_rate.Reserve(kernel::SystemClock{}.Now(), piece);
  After(wait, [this, sending, piece] {
    m_bytes += piece;
    sending->responder->Write(sending->bytes.substr(sending->sent, piece));
    sending->sent += piece;
    SendNext(sending);
  });
}

void FileSource::MaybeCorrupt(std::string& bytes) {
  if (!bytes.empty() && m_random.Chance(m_corrupt_percent / 100)) {
    bytes[m_random.Below(bytes.size())] ^= 1;
  }
}

void FileSource::Control(const http::Request& request,
                         http::Responder& responder) {
  const auto control = ParseObject(request, responder);
  if (control.is_discarded()) {
    return;
  }
  m_available = control.value("available", m_available);
  m_corrupt_percent = control.value("corrupt_percent", m_corrupt_percent);
  ReplyJson(
      responder, 200,
      {{"available", m_available}, {"corrupt_percent", m_corrupt_percent}});
}

}  // namespace radishrudder::standin
