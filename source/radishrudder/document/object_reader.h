#ifndef RADISHRUDDER_SOURCE_DOCUMENT_OBJECT_READER_H_
#define RADISHRUDDER_SOURCE_DOCUMENT_OBJECT_READER_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "json_tree.h"

namespace radishrudder::document {

// What all cursors over one document share.
struct ReadContext {
  std::string_view source;
  std::string_view text;
  bool complete = true;  // False: missing keys are not reported.
  kernel::Findings& findings;
  bool more = false;  // Findings past the bound were left out.
};

// A value under way, with its JSON pointer. Each reader reports a value that
// is not valid and returns nothing.
class Cursor {
 public:
  Cursor(ReadContext& context, const Node& node, std::string pointer)
      : m_context(&context), m_node(&node), m_pointer(std::move(pointer)) {}

  const Node& Value() const { return *m_node; }
  const std::string& Pointer() const { return m_pointer; }
  bool IsComplete() const { return m_context->complete; }
  // Returns whether there are so many findings that no more are kept.
  bool IsFull() const;

  // Returns the cursor of a member or element.
  Cursor Child(const Member& member, std::size_t index) const;

  std::optional<bool> Boolean() const;
  std::optional<double> Number(double minimum, double maximum) const;
  std::optional<std::uint32_t> Whole(std::uint32_t minimum,
                                     std::uint32_t maximum) const;
  // Returns the text if it is one of `choices`.
  std::optional<std::string> Choice(
      std::span<const std::string_view> choices) const;
  // Returns the text if `accepts` does; `valid` says what would be valid.
  std::optional<std::string> Text(bool (*accepts)(std::string_view),
                                  std::string_view valid) const;
  // Returns whether the value is of `kind`, reporting it if not.
  bool Expect(NodeKind kind) const;
  // Returns whether the value is an array of at most `maximum` elements.
  bool ExpectArray(std::size_t maximum) const;

  void Error(std::string text, std::string valid) const;
  void Warning(std::string text, std::string valid) const;
  void ErrorAt(std::size_t offset, std::string text, std::string valid) const;
  // Reports the value itself: "VALUE is not valid".
  void Invalid(std::string valid) const;

 private:
  ReadContext* m_context;
  const Node* m_node;
  std::string m_pointer;
};

// One key of an object.
struct Key {
  std::string_view name;
  bool required = false;
  std::string_view valid;  // What its value may be, in words.
};

// A key and how its value fills a `Section`.
template <typename Section>
struct Field {
  Key key;
  void (*read)(const Cursor& cursor, Section& section);
};

// Reports members whose key is unknown or stands twice, and missing keys.
void CheckKeys(const Cursor& object, std::span<const Key> keys);

// Fills `section` from an object by the table of its fields.
template <typename Section>
void ReadObject(const Cursor& object,
                std::span<const Field<Section>> fields,
                Section& section) {
  if (!object.Expect(NodeKind::kObject)) {
    return;
  }
  std::vector<Key> keys;
  for (const Field<Section>& field : fields) {
    keys.push_back(field.key);
  }
  CheckKeys(object, keys);
  for (const Member& member : object.Value().members) {
    for (const Field<Section>& field : fields) {
      if (field.key.name == member.key) {
        field.read(object.Child(member, 0), section);
      }
    }
  }
}

}  // namespace radishrudder::document

#endif  // RADISHRUDDER_SOURCE_DOCUMENT_OBJECT_READER_H_
