#include "radishrudder/direct/request_memory.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

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
                   2 * 16'000},
        MemoryCase{"PromptParts",
                   {.prompt_parts = std::vector<std::string>(4000, "a")},
                   4000 * sizeof(std::string)},
        MemoryCase{"LongPath",
                   {.target = std::string(15'000, 'x'),
                    .path = std::string(15'000, 'x')},
                   3 * 15'000}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace radishrudder::direct
