#include "object_reader.h"

#include <algorithm>
#include <charconv>

#include "radishrudder/kernel/nearest.h"

namespace radishrudder::document {
namespace {

constexpr std::size_t kMaximumFindings = 100;

std::string_view KindName(NodeKind kind) {
  switch (kind) {
    case NodeKind::kNull:
      return "null";
    case NodeKind::kBoolean:
      return "true or false";
    case NodeKind::kNumber:
      return "a number";
    case NodeKind::kText:
      return "a string";
    case NodeKind::kArray:
      return "an array";
    case NodeKind::kObject:
      return "an object";
  }
  return "";
}

std::string Shown(double number) {
  char buffer[32];
  const auto result = std::to_chars(buffer, buffer + sizeof(buffer), number,
                                    std::chars_format::fixed);
  return {buffer, result.ptr};
}

std::string Escaped(std::string_view key) {
  std::string escaped;
  for (const char letter : Shortened(key)) {
    if (letter == '~') {
      escaped += "~0";
    } else if (letter == '/') {
      escaped += "~1";
    } else {
      escaped += letter;
    }
  }
  return escaped;
}

std::string Joined(std::span<const std::string_view> names) {
  std::string text;
  for (const std::string_view name : names) {
    text += text.empty() ? "" : ", ";
    text += name;
  }
  return text;
}

std::string NearestKey(std::string_view name, std::span<const Key> keys) {
  std::vector<std::string_view> names;
  for (const Key& key : keys) {
    names.push_back(key.name);
  }
  const std::string_view nearest = kernel::Nearest(name, names);
  return nearest.empty() ? Joined(names) : Quoted(nearest);
}

bool IsFirst(const Cursor& object, const Member& member) {
  const auto first =
      std::ranges::find(object.Value().members, member.key, &Member::key);
  return &*first == &member;
}

bool Has(const Cursor& object, std::string_view key) {
  return std::ranges::any_of(object.Value().members, [&](const Member& member) {
    return member.key == key;
  });
}

}  // namespace

Cursor Cursor::Child(const Member& member, std::size_t index) const {
  const bool element = m_node->kind == NodeKind::kArray;
  return {*m_context, member.value,
          m_pointer + "/" +
              (element ? std::to_string(index) : Escaped(member.key))};
}

std::optional<bool> Cursor::Boolean() const {
  if (!Expect(NodeKind::kBoolean)) {
    return std::nullopt;
  }
  return m_node->boolean;
}

std::optional<double> Cursor::Number(double minimum, double maximum) const {
  if (!Expect(NodeKind::kNumber)) {
    return std::nullopt;
  }
  if (m_node->number < minimum || m_node->number > maximum) {
    Invalid("a number from " + Shown(minimum) + " to " + Shown(maximum));
    return std::nullopt;
  }
  return m_node->number;
}

std::optional<std::uint32_t> Cursor::Whole(std::uint32_t minimum,
                                           std::uint32_t maximum) const {
  if (!Expect(NodeKind::kNumber)) {
    return std::nullopt;
  }
  if (!m_node->whole || m_node->number < minimum || m_node->number > maximum) {
    Invalid("a whole number from " + std::to_string(minimum) + " to " +
            std::to_string(maximum));
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(m_node->number);
}

std::optional<std::string> Cursor::Choice(
    std::span<const std::string_view> choices) const {
  if (!Expect(NodeKind::kText)) {
    return std::nullopt;
  }
  if (std::ranges::find(choices, m_node->text) == choices.end()) {
    Invalid(Joined(choices));
    return std::nullopt;
  }
  return m_node->text;
}

std::optional<std::string> Cursor::Text(bool (*accepts)(std::string_view),
                                        std::string_view valid) const {
  if (!Expect(NodeKind::kText)) {
    return std::nullopt;
  }
  if (!accepts(m_node->text)) {
    Invalid(std::string(valid));
    return std::nullopt;
  }
  return m_node->text;
}

bool Cursor::IsFull() const {
  return m_context->findings.Items().size() >= kMaximumFindings;
}

bool Cursor::Expect(NodeKind kind) const {
  if (m_node->kind == kind) {
    return true;
  }
  const bool scalar =
      m_node->kind != NodeKind::kArray && m_node->kind != NodeKind::kObject;
  if (scalar) {
    Invalid(std::string(KindName(kind)));
  } else {
    Error("is " + std::string(KindName(m_node->kind)),
          std::string(KindName(kind)));
  }
  return false;
}

bool Cursor::ExpectArray(std::size_t maximum) const {
  if (!Expect(NodeKind::kArray)) {
    return false;
  }
  if (m_node->members.size() > maximum) {
    Error("has " + std::to_string(m_node->members.size()) + " elements",
          "at most " + std::to_string(maximum));
    return false;
  }
  return true;
}

void Cursor::Error(std::string text, std::string valid) const {
  ErrorAt(m_node->begin, std::move(text), std::move(valid));
}

void Cursor::Warning(std::string text, std::string valid) const {
  m_context->findings.Warning(
      PlaceAt(m_context->source, m_context->text, m_node->begin, m_pointer),
      std::move(text), std::move(valid));
}

void Cursor::ErrorAt(std::size_t offset,
                     std::string text,
                     std::string valid) const {
  if (IsFull()) {
    m_context->more = true;
    return;
  }
  m_context->findings.Error(
      PlaceAt(m_context->source, m_context->text, offset, m_pointer),
      std::move(text), std::move(valid));
}

void Cursor::Invalid(std::string valid) const {
  const std::string shown =
      m_node->kind == NodeKind::kText
          ? Quoted(m_node->text)
          : std::string(m_context->text.substr(m_node->begin,
                                               m_node->end - m_node->begin));
  Error(shown + " is not valid", std::move(valid));
}

void CheckKeys(const Cursor& object, std::span<const Key> keys) {
  for (const Member& member : object.Value().members) {
    const Cursor child = object.Child(member, 0);
    if (std::ranges::find(keys, member.key, &Key::name) == keys.end()) {
      child.ErrorAt(member.key_begin,
                    "key " + Quoted(member.key) + " is unknown",
                    child.IsFull() ? "" : NearestKey(member.key, keys));
    } else if (!IsFirst(object, member)) {
      child.ErrorAt(member.key_begin,
                    "key " + Quoted(member.key) + " stands twice",
                    "to give it once");
    }
  }
  for (const Key& key : keys) {
    if (key.required && object.IsComplete() && !Has(object, key.name)) {
      object.Error("key " + Quoted(key.name) + " is missing",
                   std::string(key.valid));
    }
  }
}

}  // namespace radishrudder::document
