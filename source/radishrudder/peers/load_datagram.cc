#include "radishrudder/peers/load_datagram.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>

namespace radishrudder::peers {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kSubscriptionKind = 1;
constexpr std::uint64_t kReportKind = 2;
constexpr std::size_t kMaximumModelBytes = 64;
constexpr std::uint64_t kUsualPercent = 100;
constexpr std::uint64_t kMaximumPercent = 10000;
// Agents send no reading that is older than this; it covers the longest time
// that an endpoint may take to respond.
constexpr std::uint64_t kMaximumAgeMilliseconds = 60000;

std::uint64_t ToPercent(double pace) {
  const double percent = std::round(pace * kUsualPercent);
  return percent >= 1 && percent <= kMaximumPercent
             ? static_cast<std::uint64_t>(percent)
             : kUsualPercent;
}

double ToPace(std::uint64_t percent) {
  return percent >= 1 && percent <= kMaximumPercent
             ? static_cast<double>(percent) / kUsualPercent
             : 1;
}

Json ToJson(const LoadReportDatagram& report) {
  const EndpointLoad& load = report.load;
  const auto age = std::clamp<std::int64_t>(
      report.age.count(), 0,
      static_cast<std::int64_t>(kMaximumAgeMilliseconds));
  return {{"k", kReportKind},
          {"b", load.started_at_ms},
          {"r", load.running},
          {"w", load.waiting},
          {"p", ToPercent(load.pace)},
          {"n", load.takes_no_new_calls},
          {"m",
           load.model.size() > kMaximumModelBytes ? std::string() : load.model},
          {"v", load.version},
          {"u", load.cache_used},
          {"t", load.cache_total},
          {"s", report.sequence},
          {"a", static_cast<std::uint64_t>(age)}};
}

// Reads the members of a datagram. `Valid` is false once one was missing or
// had another type or range.
class Members {
 public:
  explicit Members(const Json& object) : m_object(object) {}

  std::uint64_t Unsigned(
      const char* name,
      std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max()) {
    const auto found = m_object.find(name);
    if (found == m_object.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > maximum) {
      m_valid = false;
      return 0;
    }
    return found->get<std::uint64_t>();
  }
  std::uint32_t Count(const char* name) {
    return static_cast<std::uint32_t>(
        Unsigned(name, std::numeric_limits<std::uint32_t>::max()));
  }
  bool Flag(const char* name) {
    const auto found = m_object.find(name);
    if (found == m_object.end() || !found->is_boolean()) {
      m_valid = false;
      return false;
    }
    return found->get<bool>();
  }
  std::string Text(const char* name) {
    const auto found = m_object.find(name);
    if (found == m_object.end() || !found->is_string()) {
      m_valid = false;
      return {};
    }
    return found->get<std::string>();
  }
  bool Valid() const { return m_valid; }

 private:
  const Json& m_object;
  bool m_valid = true;
};

// Returns a discarded value if the bytes are not CBOR. The parser throws for a
// stated array size beyond memory even if exceptions are turned off.
Json Parse(std::string_view bytes) {
  try {
    return Json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                           /*allow_exceptions=*/false);
  } catch (const Json::exception&) {
    return Json(Json::value_t::discarded);
  }
}

std::optional<LoadDatagram> DecodeReport(Members& members) {
  LoadReportDatagram report;
  EndpointLoad& load = report.load;
  load.started_at_ms = members.Unsigned("b");
  load.running = members.Count("r");
  load.waiting = members.Count("w");
  load.pace = ToPace(members.Unsigned("p"));
  load.takes_no_new_calls = members.Flag("n");
  load.model = members.Text("m");
  load.version = members.Unsigned("v");
  load.cache_used = members.Unsigned("u");
  load.cache_total = members.Unsigned("t");
  report.sequence = members.Unsigned("s");
  report.age = std::chrono::milliseconds(static_cast<std::int64_t>(
      members.Unsigned("a", kMaximumAgeMilliseconds)));
  return members.Valid() ? std::optional<LoadDatagram>(std::move(report))
                         : std::nullopt;
}

}  // namespace

std::string Encode(const LoadDatagram& datagram) {
  const auto* report = std::get_if<LoadReportDatagram>(&datagram);
  std::string bytes;
  Json::to_cbor(
      report != nullptr ? ToJson(*report) : Json{{"k", kSubscriptionKind}},
      bytes);
  return bytes;
}

std::optional<LoadDatagram> DecodeLoadDatagram(std::string_view bytes) {
  if (bytes.size() >= kLoadDatagramLimit) {
    return std::nullopt;
  }
  const Json object = Parse(bytes);
  if (!object.is_object()) {
    return std::nullopt;
  }
  Members members(object);
  const std::uint64_t kind = members.Unsigned("k");
  if (kind == kSubscriptionKind) {
    return LoadSubscription{};
  }
  return kind == kReportKind ? DecodeReport(members) : std::nullopt;
}

}  // namespace radishrudder::peers
