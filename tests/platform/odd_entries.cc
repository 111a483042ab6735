#include "tests/platform/odd_entries.h"

#include <map>
#include <ostream>
#include <string_view>
#include <utility>

namespace radishrudder::platform {
namespace {

constexpr std::string_view kDigits26 = "99999999999999999999999999";

// Text of an endpoint's entry, with one member replaced, added or, without a
// text, left out.
std::string EntryWith(const std::string& member, const std::string& text) {
  std::map<std::string, std::string> members = {
      {"service", R"("plain")"},
      {"address", R"("127.0.0.9:9")"},
      {"zone", R"("a")"},
      {"version", "1"},
      {"slots", "8"},
      {"state", R"("ready")"},
      {"born", "1790000000123"},
      {"cold_remaining_ms", "0"},
      {"sequence", "1"},
  };
  members[member] = text;
  std::string entry;
  for (const auto& [name, value] : members) {
    if (!value.empty()) {
      entry += entry.empty() ? "{" : ", ";
      entry += '"';
      entry += name;
      entry += "\": ";
      entry += value;
    }
  }
  return entry + "}";
}

std::string Repeated(std::string_view text, std::size_t count) {
  std::string repeated;
  repeated.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

// Leaves room for the other members of an entry.
constexpr std::size_t kLargeBytes = kMaximumValueBytes - 512;

std::string NestedArrays() {
  return Repeated("[", kLargeBytes / 2) + Repeated("]", kLargeBytes / 2);
}

std::string NestedObjects() {
  constexpr std::string_view kBegin = R"({"":)";
  const std::size_t depth = kLargeBytes / (kBegin.size() + 1);
  return Repeated(kBegin, depth) + "0" + Repeated("}", depth);
}

std::string ArrayOf(std::string_view element) {
  return "[" +
         Repeated(std::string(element) + ",",
                  kLargeBytes / (element.size() + 1)) +
         std::string(element) + "]";
}

std::string ManyMembers() {
  std::string members = "{";
  while (members.size() < kLargeBytes) {
    members += '"' + std::to_string(members.size()) + "\":0,";
  }
  return members + R"("":0})";
}

std::string LongText() {
  return '"' + std::string(kLargeBytes, 'x') + '"';
}

}  // namespace

void PrintTo(const OddValue& odd, std::ostream* stream) {
  *stream << odd.name;
}

std::vector<OddValue> SmallOddValues() {
  std::vector<std::pair<std::string, std::string>> values = {
      {"Empty", ""},
      {"Null", "null"},
      {"Bytes", "\xff\xfe\x80"},
      {"ZeroBytes", std::string(16, '\0')},
      {"HalfSurrogate", EntryWith("zone", R"("\ud800")")},
      {"Array", "[1]"},
      {"EmptyObject", "{}"},
      {"Truncated", R"({"service": "plain", "address": "127.)"},
      {"UnknownState", EntryWith("state", R"("odd")")},
      {"NoState", EntryWith("state", "")},
      {"NoService", EntryWith("service", "")},
      {"NoAddress", EntryWith("address", "")},
      {"ModelsOfText", EntryWith("models", R"("m")")},
      {"ModelOfNumber", EntryWith("models", "[7]")},
  };
  for (const char* port :
       {"", "0", "65536", "99999", "-9", "+9", "9x", "18446744073709551625",
        "99999999999999999999999", "text", "9:9", " 9"}) {
    values.push_back(
        {"Port" + std::to_string(values.size()),
         EntryWith("address", R"("127.0.0.9:)" + std::string(port) + '"')});
  }
  for (const char* address : {"127.0.0.9", "", ":9", "nowhere:9", "[::1]:9",
                              "127.0.0.999:9", "127.0.0.9\\u0000:9"}) {
    values.push_back({"Address" + std::to_string(values.size()),
                      EntryWith("address", '"' + std::string(address) + '"')});
  }
  for (const char* member : {"slots", "born"}) {
    for (const std::string& number :
         {std::string("1e999"), std::string("-1e999"), std::string("1e300"),
          std::string(kDigits26), std::string("18446744073709551615"),
          std::string("18446744073709551616"), std::string("-1"),
          std::string("-9223372036854775808"), std::string(R"("8")"),
          std::string("[8]"), std::string("{}"), std::string("true")}) {
      values.push_back({std::string(member) + std::to_string(values.size()),
                        EntryWith(member, number)});
    }
  }
  for (const char* number :
       {"1e999", "-1", "1.5", "18446744073709551615", R"("2")", "[]"}) {
    values.push_back({"ModelVersion" + std::to_string(values.size()),
                      EntryWith("models", R"([{"name": "m", "version": )" +
                                              std::string(number) + "}]")});
  }
  for (const char* member : {"service", "address", "zone", "state"}) {
    for (const char* value : {"7", "[]", "{}", "false"}) {
      values.push_back({std::string(member) + std::to_string(values.size()),
                        EntryWith(member, value)});
    }
  }
  std::vector<OddValue> odd;
  for (const auto& [name, value] : values) {
    odd.push_back({name, [text = value] { return text; }});
  }
  return odd;
}

std::vector<OddValue> LargeOddValues() {
  return {
      {"Numbers", [] { return ArrayOf("0"); }},
      {"NestedArrays", [] { return NestedArrays(); }},
      {"OpenArrays", [] { return Repeated("[", kLargeBytes); }},
      {"NestedObjects", [] { return NestedObjects(); }},
      {"ArraysInMember", [] { return EntryWith("zone", NestedArrays()); }},
      {"ObjectsInMember", [] { return EntryWith("slots", NestedObjects()); }},
      {"ArraysInUnknownMember", [] { return EntryWith("x", NestedArrays()); }},
      {"ArraysInModels", [] { return EntryWith("models", NestedArrays()); }},
      {"NumbersAsModels", [] { return EntryWith("models", ArrayOf("0")); }},
      {"EmptyModels",
       [] { return EntryWith("models", ArrayOf(R"({"layers":7})")); }},
      {"NumbersAsLayers",
       [] {
         return EntryWith("models", R"([{"layers": )" + ArrayOf("0") + "}]");
       }},
      {"EmptyObjects", [] { return EntryWith("models", ArrayOf("{}")); }},
      {"ManyMembers", [] { return ManyMembers(); }},
      {"LongService", [] { return EntryWith("service", LongText()); }},
      {"LongZone", [] { return EntryWith("zone", LongText()); }},
      {"LongState", [] { return EntryWith("state", LongText()); }},
      {"LongAddress",
       [] {
         return EntryWith("address",
                          '"' + std::string(kLargeBytes, '1') + ":9\"");
       }},
      {"LongNumber",
       [] { return EntryWith("slots", std::string(kLargeBytes, '9')); }},
      {"LongBytes", [] { return std::string(kLargeBytes, '\xff'); }},
  };
}

}  // namespace radishrudder::platform
