#include "json_tree.h"

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

namespace radishrudder::document {
namespace {

constexpr std::size_t kMaximumBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaximumDepth = 16;
constexpr std::size_t kMaximumValues = 16'384;
constexpr std::size_t kMaximumShown = 60;
constexpr std::size_t kMaximumSyntaxError = 200;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kBetweenTokens = " \t\r\n,:";
constexpr std::string_view kNumberLetters = "+-.0123456789eE";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

bool IsContinuationByte(char byte) {
  return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

bool IsControl(char letter) {
  const auto byte = static_cast<unsigned char>(letter);
  return byte < kFirstPrintable || byte == kDelete;
}

bool IsPrintableAscii(char letter) {
  return !IsControl(letter) && static_cast<unsigned char>(letter) < kDelete;
}

// Builds the tree from the parser's events. The events come in the order of
// the text, so the start of a token is the first byte after the token before
// it that is no separator.
class TreeBuilder final : public nlohmann::json::json_sax_t {
 public:
  TreeBuilder(std::string_view source,
              std::string_view text,
              kernel::Findings& findings)
      : m_source(source), m_text(text), m_findings(findings) {
    if (text.starts_with(kByteOrderMark)) {
      m_end = kByteOrderMark.size();
    }
  }

  Node TakeRoot() { return std::move(m_root); }

  bool null() override {
    return AddScalar(NodeKind::kNull, WordEnd()) != nullptr;
  }

  bool boolean(bool value) override {
    Node* const node = AddScalar(NodeKind::kBoolean, WordEnd());
    if (node != nullptr) {
      node->boolean = value;
    }
    return node != nullptr;
  }

  bool number_integer(number_integer_t value) override {
    return AddNumber(static_cast<double>(value), true);
  }

  bool number_unsigned(number_unsigned_t value) override {
    return AddNumber(static_cast<double>(value), true);
  }

  bool number_float(number_float_t value, const string_t& raw) override {
    // A whole number too large for 64 bits also arrives here.
    return AddNumber(value, false);
  }

  bool string(string_t& value) override {
    Node* const node = AddScalar(NodeKind::kText, StringEnd());
    if (node != nullptr) {
      node->text = std::move(value);
    }
    return node != nullptr;
  }

  bool binary(binary_t& value) override { return false; }

  bool start_object(std::size_t elements) override {
    return Open(NodeKind::kObject);
  }

  bool key(string_t& value) override {
    m_key_begin = Begin();
    m_end = StringEnd();
    m_key = std::move(value);
    return true;
  }

  bool end_object() override { return Close(); }

  bool start_array(std::size_t elements) override {
    return Open(NodeKind::kArray);
  }

  bool end_array() override { return Close(); }

  bool parse_error(std::size_t position,
                   const std::string& last_token,
                   const nlohmann::detail::exception& error) override {
    std::string_view what = error.what();
    const std::size_t detail = what.find("syntax error");
    what.remove_prefix(detail == std::string_view::npos ? what.find("] ") + 2
                                                        : detail);
    const std::size_t offset = position == 0 ? 0 : position - 1;
    Report(offset, "is not JSON: " + Printable(what), "JSON (RFC 8259)");
    return false;
  }

 private:
  std::size_t Begin() const {
    return std::min(m_text.find_first_not_of(kBetweenTokens, m_end),
                    m_text.size());
  }

  std::size_t WordEnd() const {
    const std::size_t begin = Begin();
    return std::min(m_text.find_first_not_of("aeflnrstu", begin),
                    m_text.size());
  }

  std::size_t NumberEnd() const {
    return std::min(m_text.find_first_not_of(kNumberLetters, Begin()),
                    m_text.size());
  }

  std::size_t StringEnd() const {
    std::size_t at = Begin() + 1;
    while (at < m_text.size() && m_text[at] != '"') {
      at += m_text[at] == '\\' ? 2 : 1;
    }
    return std::min(at + 1, m_text.size());
  }

  bool AddNumber(double value, bool whole) {
    Node* const node = AddScalar(NodeKind::kNumber, NumberEnd());
    if (node != nullptr) {
      node->number = value;
      node->whole = whole;
    }
    return node != nullptr;
  }

  Node* AddScalar(NodeKind kind, std::size_t end) {
    Node* const node = Add(kind);
    if (node != nullptr) {
      node->end = end;
      m_end = end;
    }
    return node;
  }

  bool Open(NodeKind kind) {
    if (m_open.size() >= kMaximumDepth) {
      Report(Begin(), "is nested too deeply",
             "at most " + std::to_string(kMaximumDepth) + " levels");
      return false;
    }
    Node* const node = Add(kind);
    if (node == nullptr) {
      return false;
    }
    m_end = node->begin + 1;
    node->end = m_end;
    m_open.push_back(node);
    return true;
  }

  bool Close() {
    m_end = Begin() + 1;
    m_open.back()->end = m_end;
    m_open.pop_back();
    return true;
  }

  Node* Add(NodeKind kind) {
    const std::size_t begin = Begin();
    if (++m_values > kMaximumValues) {
      Report(begin, "has too many values",
             "at most " + std::to_string(kMaximumValues));
      return nullptr;
    }
    Node* node = &m_root;
    if (!m_open.empty()) {
      m_open.back()->members.push_back(
          {std::exchange(m_key, {}), m_key_begin, {}});
      node = &m_open.back()->members.back().value;
    }
    node->kind = kind;
    node->begin = begin;
    return node;
  }

  // The parser's message repeats the text read last, of any length and bytes.
  static std::string Printable(std::string_view message) {
    std::string printable(message.substr(0, kMaximumSyntaxError));
    std::ranges::replace_if(
        printable, [](char letter) { return !IsPrintableAscii(letter); }, '?');
    return printable;
  }

  void Report(std::size_t offset, std::string text, std::string valid) {
    m_findings.Error(PlaceAt(m_source, m_text, offset, ""), std::move(text),
                     std::move(valid));
  }

  std::string_view m_source;
  std::string_view m_text;
  kernel::Findings& m_findings;
  Node m_root;
  std::vector<Node*> m_open;
  std::size_t m_end = 0;  // Of the token before.
  std::size_t m_values = 0;
  std::string m_key;
  std::size_t m_key_begin = 0;
};

}  // namespace

JsonTree ParseJson(std::string_view source,
                   std::string_view text,
                   kernel::Findings& findings) {
  JsonTree tree;
  if (text.size() > kMaximumBytes) {
    findings.Error(PlaceAt(source, text, 0, ""),
                   "is " + std::to_string(text.size()) + " bytes long",
                   "at most " + std::to_string(kMaximumBytes) + " bytes");
    return tree;
  }
  TreeBuilder builder(source, text, findings);
  tree.complete = nlohmann::json::sax_parse(text.begin(), text.end(), &builder);
  tree.root = builder.TakeRoot();
  return tree;
}

kernel::Place PlaceAt(std::string_view source,
                      std::string_view text,
                      std::size_t offset,
                      std::string pointer) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const std::size_t newline = before.rfind('\n');
  const std::string_view line =
      newline == std::string_view::npos ? before : before.substr(newline + 1);
  const auto lines = std::ranges::count(before, '\n');
  const auto characters = std::ranges::count_if(
      line, [](char byte) { return !IsContinuationByte(byte); });
  return {std::string(source), static_cast<std::size_t>(lines) + 1,
          static_cast<std::size_t>(characters) + 1, std::move(pointer)};
}

std::string Shortened(std::string_view text) {
  std::size_t length = std::min(text.size(), kMaximumShown);
  while (length > 0 && length < text.size() &&
         IsContinuationByte(text[length])) {
    --length;
  }
  std::string shown(text.substr(0, length));
  std::ranges::replace_if(shown, IsControl, '?');
  if (length < text.size()) {
    shown += "...";
  }
  return shown;
}

std::string Quoted(std::string_view text) {
  return '"' + Shortened(text) + '"';
}

}  // namespace radishrudder::document
