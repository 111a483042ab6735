// Embeds the ledger of idempotency keys alone, in a program that books chairs
// and must not book one twice.

#include <chrono>
#include <iostream>
#include <string>

#include "radishrudder/calls/key_ledger.h"
#include "radishrudder/kernel/time.h"

namespace {

namespace calls = radishrudder::calls;
namespace kernel = radishrudder::kernel;

constexpr std::size_t kMaximumRecordedBytes = std::size_t{1} << 20U;
constexpr auto kKeyLifetime = std::chrono::minutes(15);
constexpr std::uint32_t kCreated = 201;

class BookingDesk {
 public:
  // Books once for each key; a repeat gets the recorded answer.
  std::string Book(kernel::Time now,
                   const std::string& key,
                   const std::string& chair) {
    m_ledger.Expire(now);
    switch (m_ledger.Find(key, chair)) {
      case calls::KeyState::kNew:
        return Run(now, key, chair);
      case calls::KeyState::kRecorded:
        return m_ledger.Answer(key).body;
      case calls::KeyState::kCallMismatch:
        return "refused: the key came with another booking";
      default:
        return "refused: the booking may have run";
    }
  }

  int Bookings() const { return m_bookings; }

 private:
  std::string Run(kernel::Time now,
                  const std::string& key,
                  const std::string& chair) {
    m_ledger.Begin(key, chair, now + kKeyLifetime);
    ++m_bookings;
    std::string answer =
        "booked " + chair + " as number " + std::to_string(m_bookings);
    m_ledger.AddHead(key, {kCreated, {}, "", ""});
    m_ledger.AddData(key, answer);
    m_ledger.End(key, true);
    return answer;
  }

  calls::KeyLedger m_ledger{kMaximumRecordedBytes};
  int m_bookings = 0;
};

}  // namespace

int main() {
  const kernel::Time now{};
  BookingDesk desk;
  const std::string first = desk.Book(now, "key-1", "chair 4");
  const std::string repeated =
      desk.Book(now + std::chrono::minutes(1), "key-1", "chair 4");
  const std::string other = desk.Book(now, "key-1", "chair 5");
  std::cout << first << "\n" << repeated << "\n" << other << "\n";
  return desk.Bookings() == 1 && first == repeated && other != first ? 0 : 1;
}
