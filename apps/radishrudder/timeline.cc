#include "timeline.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <set>
#include <span>
#include <utility>

#include "radishrudder/logging/events.h"

namespace radishrudder::command_line {
namespace {

using std::chrono::milliseconds;

// What a process came to believe so long before a call may have decided it.
constexpr milliseconds kBefore{3000};
// Clocks that are nearer than this are not told: news takes time to arrive.
constexpr milliseconds kNearClocks{500};
// News that reaches all processes within moments, by which clocks are compared.
constexpr std::uint32_t kSharedNews[] = {logging::kDocumentInForce.number,
                                         logging::kVersionDeclared.number};
// Beliefs that bear on every call of a process.
constexpr std::uint32_t kBeliefs[] = {
    logging::kDocumentInForce.number, logging::kStoreLost.number,
    logging::kStoreRegained.number, logging::kVersionDeclared.number,
    logging::kReadinessChanged.number};

bool IsOneOf(std::span<const std::uint32_t> numbers, std::uint32_t number) {
  return std::ranges::find(numbers, number) != numbers.end();
}

// What makes two records the same news: all but the process.
std::string NewsOf(const logging::Record& record) {
  std::string news = std::to_string(record.number);
  for (const auto& [name, value] : record.fields) {
    if (name != "instance") {
      news += ' ';
      news += value;
    }
  }
  return news;
}

}  // namespace

void Timeline::Add(std::string name, std::string_view text) {
  const std::size_t log = m_names.size();
  m_names.push_back(std::move(name));
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    Line& line = m_lines.emplace_back();
    line.text = text.substr(0, end);
    line.log = log;
    text.remove_prefix(std::min(end + 1, text.size()));
    if (auto record = logging::ParseRecord(line.text)) {
      line.record = std::move(*record);
    } else {
      m_other_lines += line.text.empty() ? 0 : 1;
      m_lines.pop_back();
    }
  }
}

bool Timeline::Knows(std::string_view id) const {
  return std::ranges::any_of(
      m_lines, [id](const Line& line) { return line.record.Find("id") == id; });
}

std::string Timeline::Describe(std::string_view id) const {
  std::optional<milliseconds> first;
  milliseconds last{0};
  std::set<std::size_t> logs;
  std::set<std::string_view> endpoints;
  for (const Line& line : m_lines) {
    if (line.record.Find("id") == id) {
      first = first ? std::min(*first, line.record.time) : line.record.time;
      last = std::max(last, line.record.time);
      logs.insert(line.log);
      endpoints.insert(line.record.Find("endpoint"));
    }
  }
  endpoints.erase("");
  if (!first) {
    return {};
  }
  std::vector<const Line*> told;
  for (const Line& line : m_lines) {
    const logging::Record& record = line.record;
    const bool about_call = record.Find("id") == id;
    const bool in_time = record.time >= *first - kBefore && record.time <= last;
    const bool belief =
        logs.contains(line.log) && IsOneOf(kBeliefs, record.number);
    const bool about_endpoint =
        record.Find("id").empty() &&
        std::ranges::any_of(endpoints, [&record](std::string_view endpoint) {
          return record.Mentions(endpoint);
        });
    if (about_call || (in_time && (belief || about_endpoint))) {
      told.push_back(&line);
    }
  }
  std::ranges::stable_sort(told, {},
                           [](const Line* line) { return line->record.time; });
  std::string text;
  for (const Line* line : told) {
    const auto offset = (line->record.time - *first).count();
    text += (offset < 0 ? "-" : "+") + std::to_string(std::abs(offset)) +
            " ms  " + m_names[line->log] + "  " + line->text + "\n";
  }
  return text;
}

std::string Timeline::DescribeClocks() const {
  // Of each log, the first time of each piece of news.
  std::vector<std::map<std::string, milliseconds>> heard(m_names.size());
  for (const Line& line : m_lines) {
    if (IsOneOf(kSharedNews, line.record.number)) {
      heard[line.log].emplace(NewsOf(line.record), line.record.time);
    }
  }
  std::string text;
  for (std::size_t log = 1; log < heard.size(); ++log) {
    std::vector<milliseconds> offsets;
    for (const auto& [news, time] : heard[log]) {
      if (const auto found = heard.front().find(news);
          found != heard.front().end()) {
        offsets.push_back(time - found->second);
      }
    }
    if (offsets.empty()) {
      continue;
    }
    const auto middle =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    if (std::chrono::abs(*middle) >= kNearClocks) {
      text += m_names[log] + ": its clock is " +
              std::to_string(std::chrono::abs(*middle).count()) + " ms " +
              (middle->count() > 0 ? "ahead of" : "behind") + " that of " +
              m_names.front() + ", by " + std::to_string(offsets.size()) +
              " records of the same news\n";
    }
  }
  return text;
}

}  // namespace radishrudder::command_line
