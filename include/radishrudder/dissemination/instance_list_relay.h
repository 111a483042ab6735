#ifndef RADISHRUDDER_DISSEMINATION_INSTANCE_LIST_RELAY_H_
#define RADISHRUDDER_DISSEMINATION_INSTANCE_LIST_RELAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::dissemination {

// An instance of the service, as published by the platform.
struct RelayedInstance {
  std::string instance{};
  std::string data_centre{};
  bool leaving = false;

  bool operator==(const RelayedInstance&) const = default;
  bool operator<(const RelayedInstance& other) const {
    return std::tie(instance, data_centre, leaving) <
           std::tie(other.instance, other.data_centre, other.leaving);
  }
};

// Reads the list from the platform's store. The result goes to `OnListRead`.
struct ReadInstanceList {};
// `Instances` returns another list than before.
struct InstanceListChanged {};

using RelayOutput =
    std::variant<ReadInstanceList, wire::Send, InstanceListChanged>;

struct RelaySettings {
  wire::ProcessKey self{};
  std::string service{};
  std::string region{};
  // Region of each data centre.
  std::map<std::string, std::string, std::less<>> regions{};
  // Instances of each region that read the list from the store, how often, and
  // how often when a read failed.
  std::size_t readers = 2;
  std::chrono::milliseconds read_interval{4000};
  std::chrono::milliseconds retry_interval{1000};
  // The other instances ask for the list when theirs is older than this, and
  // ask someone else when no answer comes in time.
  std::chrono::milliseconds maximum_age{10000};
  std::chrono::milliseconds answer_timeout{1000};
  // Questions without an answer before an instance reads the store itself.
  std::uint32_t maximum_questions = 3;
};

// Keeps the list of a service's instances current on each of them without each
// reading it from the store. In every region a few instances, which each can
// compute from the list, read it. They pass on a changed list down a tree
// within the region; the others confirm theirs now and then by its hash. An
// instance that receives no answer asks others, and then reads the store.
//
// A list that is passed on keeps the time at which it was read: receivers
// ignore one that is older than their own. State machine without sockets,
// threads or clocks.
class InstanceListRelay {
 public:
  InstanceListRelay(RelaySettings settings, kernel::Random random);

  // The store delivered the list; nothing: the read failed. `requested_at` is
  // when the read began.
  void OnListRead(kernel::Time now,
                  kernel::Time requested_at,
                  std::optional<std::vector<RelayedInstance>> instances);
  // Handles messages of the other instances. Returns whether the message was
  // meant for the relay.
  bool OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const { return m_next_step; }
  std::vector<RelayOutput> TakeOutputs();

  const std::vector<RelayedInstance>& Instances() const { return m_instances; }
  // When the list was read from the store, by this or another instance.
  std::optional<kernel::Time> ReadAt() const { return m_read_at; }
  // Whether this instance reads the list from the store for its region.
  bool IsReader() const;

 private:
  void Adopt(kernel::Time read_at, std::vector<RelayedInstance> instances);
  void UpdateOrder();
  void Forward(kernel::Time now);
  void Ask(kernel::Time now);
  void Read(kernel::Time now);
  void SendList(kernel::Time now, const std::string& to, bool unchanged);
  kernel::Duration Jitter(kernel::Duration duration);
  std::string RegionOf(const std::string& data_centre) const;

  RelaySettings m_settings;
  kernel::Random m_random;
  std::vector<RelayedInstance> m_instances;  // Sorted.
  std::uint64_t m_hash = 0;
  std::optional<kernel::Time> m_read_at;
  // Instances of the region in an order that all of them compute. Those that
  // leave come last.
  std::vector<std::string> m_order;
  std::size_t m_position = 0;  // Of this instance in the order.
  bool m_read_in_progress = false;
  std::uint32_t m_questions = 0;  // Without an answer so far.
  kernel::Time m_next_step{};
  std::vector<RelayOutput> m_outputs;
};

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_DISSEMINATION_INSTANCE_LIST_RELAY_H_
