#include "radishrudder/direct/request_memory.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "radishrudder/direct/prompt_part.h"

namespace radishrudder::direct {
namespace {

struct MemoryCase {
  std::string name;
  CallerRequest request{};
  std::size_t minimum = 0;  // Bytes.
};

void PrintTo(const MemoryCase& memory, std::ostream* stream) {
  *stream << memory.name;
}

class RequestMemoryTest : public testing::TestWithParam<MemoryCase> {};

TEST_P(RequestMemoryTest, CountsAllThatIsHeld) {
  const std::size_t bytes = MemoryInProgress(GetParam().request);
  EXPECT_GE(bytes, GetParam().minimum);
  EXPECT_LE(bytes, 2 * GetParam().minimum + 8192);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    RequestMemoryTest,
    testing::Values(
        MemoryCase{"Nothing", {}},
        MemoryCase{"Body", {.body = std::string(100'000, 'x')}, 100'000},
        // Each header is held, and sent as text.
        MemoryCase{
            "SmallHeaders",
            {.forwarded_headers = std::vector<http::Header>(4000, {"a", ""})},
            4000 * (sizeof(http::Header) + 5)},
        MemoryCase{"LargeHeader",
                   {.forwarded_headers = {{"a", std::string(16'000, 'x')}}},
                   32'000},
        MemoryCase{"PromptParts",
                   {.prompt_parts = std::vector<std::string>(4000, "a")},
                   4000 * sizeof(std::string)},
        MemoryCase{"LongPath",
                   {.target = std::string(15'000, 'x'),
                    .path = std::string(15'000, 'x')},
                   45'000}),
    [](const auto& info) { return info.param.name; });

struct PartCase {
  const char* name;
  std::string id;
  bool is_kept;
};

void PrintTo(const PartCase& part, std::ostream* stream) {
  *stream << part.name;
}

class PromptPartTest : public testing::TestWithParam<PartCase> {};

TEST_P(PromptPartTest, IsIdentifiedByFewBytes) {
  const std::string& id = GetParam().id;
  const std::string part = IdentifyPromptPart(id);
  EXPECT_EQ(part == id, GetParam().is_kept);
  EXPECT_LE(part.size(), 64U);
  EXPECT_EQ(IdentifyPromptPart(part), part);
  EXPECT_NE(IdentifyPromptPart(id + "x"), part);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    PromptPartTest,
    testing::Values(PartCase{"Empty", "", true},
                    PartCase{"Short", "5c1e", true},
                    PartCase{"Longest", std::string(64, 'a'), true},
                    PartCase{"TooLong", std::string(65, 'a'), false},
                    PartCase{"FarTooLong", std::string(16'000, 'a'), false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace radishrudder::direct
