#ifndef RADISHRUDDER_SOURCE_DOCUMENT_JSON_TREE_H_
#define RADISHRUDDER_SOURCE_DOCUMENT_JSON_TREE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/kernel/findings.h"

namespace radishrudder::document {

enum class NodeKind { kNull, kBoolean, kNumber, kText, kArray, kObject };

struct Member;

// One JSON value and where it stands in the text.
struct Node {
  NodeKind kind = NodeKind::kNull;
  std::size_t begin = 0;  // Offsets in bytes.
  std::size_t end = 0;
  bool boolean = false;
  bool whole = false;  // A number without fraction or exponent.
  double number = 0;
  std::string text;
  std::vector<Member> members;  // Of objects and arrays, in order.
};

// A member of an object, or an element of an array without a key.
struct Member {
  std::string key;
  std::size_t key_begin = 0;
  Node value;
};

// A JSON text with the positions of all its values, duplicate keys included.
struct JsonTree {
  Node root;
  bool complete = false;  // False after a syntax error or a bound.
};

// Parses a JSON text. A syntax error is one finding; what came before it is
// kept in the tree. Size, depth and count of values are bounded.
JsonTree ParseJson(std::string_view source,
                   std::string_view text,
                   kernel::Findings& findings);

// Returns the place of an offset. Columns count characters, from 1.
kernel::Place PlaceAt(std::string_view source,
                      std::string_view text,
                      std::size_t offset,
                      std::string pointer);

// Returns text shortened and with control characters replaced, fit for a
// finding.
std::string Shortened(std::string_view text);

// Returns the shortened text in quotes.
std::string Quoted(std::string_view text);

}  // namespace radishrudder::document

#endif  // RADISHRUDDER_SOURCE_DOCUMENT_JSON_TREE_H_
