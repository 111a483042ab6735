#include "tests/platform/weights_endpoint.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "radishrudder/kernel/boot_time.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
// A corruption that is no older is not the agent's fault.
constexpr milliseconds kCorruptionGrace{3000};
constexpr milliseconds kHistoryTime{20000};
constexpr milliseconds kMinimumLoadTime{100};
constexpr milliseconds kMinimumSlowDelay{50};
constexpr milliseconds kMaximumSlowDelay{900};
constexpr milliseconds kMinimumDelay{0};
constexpr milliseconds kMaximumDelay{6};

// Without the padding.
std::string Describe(std::string_view piece) {
  return std::string(piece.substr(0, piece.find(';')));
}

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// UTC, as in the log of the agent.
std::string TimeOfDay() {
  const std::uint64_t now = UnixMilliseconds();
  const auto seconds = static_cast<std::time_t>(now / 1000);
  std::tm time{};
  gmtime_r(&seconds, &time);
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d", time.tm_hour,
                time.tm_min, time.tm_sec, static_cast<int>(now % 1000));
  return text.data();
}

}  // namespace

std::string MakeWeightsPiece(std::uint64_t version, std::uint32_t index) {
  std::string bytes = "piece " + std::to_string(index) + " of version " +
                      std::to_string(version) + ";";
  bytes.resize(kWeightsPieceBytes, 'x');
  return bytes;
}

std::uint64_t QueryNumber(std::string_view target, std::string_view name) {
  const std::string field = std::string(name) + "=";
  const std::size_t position = target.find(field);
  return position == std::string_view::npos
             ? 0
             : std::stoull(std::string(target.substr(position + field.size())));
}

void RunAfter(asio::io_context& context,
              milliseconds delay,
              std::function<void()> action) {
  const auto timer = std::make_shared<asio::steady_timer>(context, delay);
  timer->async_wait(
      [timer, action = std::move(action)](std::error_code) { action(); });
}

WeightsEndpoint::WeightsEndpoint(asio::io_context& context,
                                 std::string_view address,
                                 kernel::Random random)
    : m_context(context), m_address(address), m_random(random) {}

std::error_code WeightsEndpoint::Start() {
  ++m_process;
  m_started_at_ms = UnixMilliseconds();
  m_frozen_until = {};
  m_loaded_version = 0;
  m_loading_version = 0;
  m_accepted_orders = 0;
  m_server = std::make_unique<exchange::CallerServer>(
      m_context, [this, process = m_process](exchange::ReceivedRequest request,
                                             const Exchange& caller) {
        if (process == m_process) {
          Receive(std::move(request), caller);
        }
      });
  const std::error_code error = m_server->Listen(m_address);
  Note({}, "started");
  return error;
}

void WeightsEndpoint::Crash(bool keeps_staged) {
  ++m_process;
  m_loaded_version = 0;
  if (!keeps_staged) {
    m_staged.clear();
  }
  Note({}, keeps_staged ? "crashed" : "lost power");
  m_server->StopAccepting();
  // The server's own completions come first.
  asio::post(m_context, [server = std::shared_ptr<exchange::CallerServer>(
                             std::move(m_server))] {});
}

void WeightsEndpoint::Freeze(milliseconds time) {
  m_frozen_until = std::max(m_frozen_until, kernel::Now() + time);
  Note({}, "frozen for " + std::to_string(time.count()) + " ms");
}

void WeightsEndpoint::CorruptPiece() {
  const auto index = static_cast<std::uint32_t>(m_random.Below(kWeightsPieces));
  const auto piece = m_staged.find(index);
  if (piece != m_staged.end() && !piece->second.corrupted_at) {
    piece->second.corrupted_at = kernel::Now();
    Note(index, "corrupted");
  }
}

milliseconds WeightsEndpoint::DrawDelay(double slow_share) {
  const bool slow = m_random.Chance(slow_share);
  const milliseconds minimum = slow ? kMinimumSlowDelay : kMinimumDelay;
  const milliseconds maximum = slow ? kMaximumSlowDelay : kMaximumDelay;
  return minimum + milliseconds(m_random.Below(static_cast<std::uint64_t>(
                       (maximum - minimum).count())));
}

void WeightsEndpoint::RunLater(milliseconds delay,
                               std::function<void()> action) {
  RunAfter(m_context, delay,
           [this, process = m_process, action = std::move(action)]() mutable {
             if (process != m_process) {
               return;
             }
             const kernel::Time now = kernel::Now();
             if (now < m_frozen_until) {
               RunLater(std::chrono::ceil<milliseconds>(m_frozen_until - now) +
                            DrawDelay(m_faults.slow),
                        std::move(action));
             } else {
               action();
             }
           });
}

void WeightsEndpoint::Receive(exchange::ReceivedRequest request,
                              const Exchange& caller) {
  const bool request_lost = m_random.Chance(m_faults.lost);
  const bool answer_lost = m_random.Chance(m_faults.lost);
  const bool is_order = request.head.target == "/order";
  const double slow_share = is_order ? m_faults.slow_orders : m_faults.slow;
  if (is_order) {
    Note({}, "order received");
  }
  RunLater(DrawDelay(slow_share), [this, request = std::move(request), caller,
                                   request_lost, answer_lost, slow_share] {
    if (request_lost) {
      caller->Abort();
      return;
    }
    RunLater(DrawDelay(slow_share),
             [caller, answer_lost, answer = TakeIn(request)] {
               if (answer_lost) {
                 caller->Abort();
               } else {
                 caller->Reply({answer.status, {}}, answer.body);
               }
             });
  });
}

WeightsEndpoint::Answer WeightsEndpoint::TakeIn(
    const exchange::ReceivedRequest& request) {
  const std::string& target = request.head.target;
  const auto index =
      static_cast<std::uint32_t>(QueryNumber(target, "sample_count"));
  if (target == "/report") {
    std::string report = ReportText();
    if (report != m_noted_report) {
      Note({}, "reports " + report);
      m_noted_report = report;
    }
    return {kOk, std::move(report)};
  }
  if (target == "/order") {
    return TakeInOrder(request.body);
  }
  if (target.starts_with("/stage-put/")) {
    return TakeInWrite(index, request.body);
  }
  if (target.starts_with("/stage-get/")) {
    return TakeInRead(index);
  }
  return {kNotFound, {}};
}

WeightsEndpoint::Answer WeightsEndpoint::TakeInWrite(std::uint32_t index,
                                                     const std::string& bytes) {
  m_staged[index] = {bytes};
  Note(index, "written: " + Describe(bytes));
  return {kOk, {}};
}

WeightsEndpoint::Answer WeightsEndpoint::TakeInRead(std::uint32_t index) {
  const auto piece = m_staged.find(index);
  if (piece == m_staged.end()) {
    Note(index, "read: missing");
    return {kNotFound, {}};
  }
  std::string bytes = piece->second.bytes;
  if (piece->second.corrupted_at) {
    bytes.back() = '?';
  }
  Note(index, "read: " + Describe(bytes) +
                  (piece->second.corrupted_at ? ", corrupted" : ""));
  return {kOk, bytes};
}

WeightsEndpoint::Answer WeightsEndpoint::TakeInOrder(const std::string& body) {
  const nlohmann::json order = nlohmann::json::parse(body);
  const auto version = order.at("version").get<std::uint64_t>();
  const auto expected = order.value("precondition", m_accepted_orders);
  const bool differs = expected != m_accepted_orders;
  const bool busy = m_loading_version != 0;
  const bool in_effect =
      version == (busy ? m_loading_version : m_loaded_version);
  Note({}, "order of version " + std::to_string(version) + " after " +
               std::to_string(expected) + " orders: " +
               (differs     ? "sequence differs"
                : in_effect ? "in effect"
                : busy      ? "busy"
                            : "accepted"));
  if (differs || (busy && !in_effect)) {
    return {kConflict, {}};
  }
  if (in_effect) {
    return {kOk, {}};
  }
  ++m_accepted_orders;
  ++m_loads;
  CheckStaged(version);
  m_loading_version = version;
  const milliseconds range = kMaximumLoadTime - kMinimumLoadTime;
  RunLater(kMinimumLoadTime + milliseconds(m_random.Below(
                                  static_cast<std::uint64_t>(range.count()))),
           [this] {
             m_loaded_version = std::exchange(m_loading_version, 0);
             Note({}, "runs version " + std::to_string(m_loaded_version));
           });
  return {kAccepted, {}};
}

std::string WeightsEndpoint::ReportText() const {
  nlohmann::json report = {{"stage", "colocated"},
                           {"models", nlohmann::json::array()},
                           {"busy", m_loading_version != 0},
                           {"sequence", m_accepted_orders},
                           {"born", m_started_at_ms}};
  if (m_loaded_version != 0) {
    report["models"].push_back({{"name", kWeightsModel},
                                {"version", m_loaded_version},
                                {"adapters", nlohmann::json::array()}});
  }
  return report.dump();
}

void WeightsEndpoint::CheckStaged(std::uint64_t version) {
  std::optional<std::uint32_t> first;
  std::string problems;
  for (std::uint32_t index = 0; index < kWeightsPieces; ++index) {
    const std::string problem = FindProblem(version, index);
    if (!problem.empty()) {
      first = first.value_or(index);
      problems += (problems.empty() ? " with piece " : ", piece ") +
                  std::to_string(index) + " " + problem;
    }
  }
  if (!first) {
    return;
  }
  std::string text = TimeOfDay() + " " + m_address + " loads version " +
                     std::to_string(version) + problems;
  text += History(*first);
  m_wrong_loads.push_back(std::move(text));
}

std::string WeightsEndpoint::History(std::uint32_t index) const {
  std::string text;
  for (const Event& event : m_events) {
    if (event.piece.value_or(index) == index) {
      text += "\n    " + event.text;
    }
  }
  return text;
}

std::string WeightsEndpoint::FindProblem(std::uint64_t version,
                                         std::uint32_t index) const {
  const auto piece = m_staged.find(index);
  if (piece == m_staged.end()) {
    return "missing";
  }
  if (piece->second.bytes != MakeWeightsPiece(version, index)) {
    return "replaced by " + Describe(piece->second.bytes);
  }
  const auto corrupted_at = piece->second.corrupted_at;
  if (corrupted_at && kernel::Now() - *corrupted_at > kCorruptionGrace) {
    return "corrupted " +
           std::to_string(std::chrono::duration_cast<milliseconds>(
                              kernel::Now() - *corrupted_at)
                              .count()) +
           " ms ago";
  }
  return {};
}

void WeightsEndpoint::Note(std::optional<std::uint32_t> piece,
                           std::string_view text) {
  const kernel::Time now = kernel::Now();
  while (!m_events.empty() && now - m_events.front().at > kHistoryTime) {
    m_events.pop_front();
  }
  std::string line = TimeOfDay() + " ";
  if (piece) {
    line += "piece " + std::to_string(*piece) + " ";
  }
  line += text;
  m_events.push_back({now, piece, std::move(line)});
}

}  // namespace radishrudder::platform
