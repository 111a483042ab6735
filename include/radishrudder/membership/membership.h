#ifndef RADISHRUDDER_MEMBERSHIP_MEMBERSHIP_H_
#define RADISHRUDDER_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/wire/process_id.h"

namespace radishrudder::membership {

enum class Role { kEntry, kAgent };
enum class State { kLive, kLeaving, kSuspected, kDead };

// An instance as the platform's list gives it.
struct ListedInstance {
  std::string instance;
  Role role = Role::kAgent;
  std::string service;  // For agents.
  std::string address;  // "ip:port" of the process of the system there.
  std::string data_centre;
  std::string region;
  bool leaving = false;
};

// Load that an endpoint reported last.
struct Load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
};

// What this process knows of another one.
struct Member {
  ListedInstance listed;
  std::uint64_t incarnation = 0;  // 0: never heard from.
  State state = State::kLive;
  std::string running_digest;
  std::uint64_t ready_revision = 0;
  // Highest document revision that it had in force while serving.
  std::uint64_t accepted_revision = 0;
  Load load;
  kernel::Time heard{};  // Time of the last news of it.
};

struct ReadInstances {
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

struct InstancesRead {
  bool succeeded = false;
  std::uint64_t revision = 0;
  std::vector<ListedInstance> instances;  // The whole list.
};

// Something about a member changed; read it with `Find`.
struct MemberChanged {
  std::string instance;
};

using MembershipOutput = std::variant<wire::Send, ReadInstances, MemberChanged>;

// What this process says of itself.
struct Self {
  wire::ProcessKey key;
  ListedInstance listed;
};

struct MembershipSettings {
  Self self;
  kernel::Duration heartbeat_interval = std::chrono::milliseconds(500);
  kernel::Duration suspect_after = std::chrono::seconds(3);
  kernel::Duration dead_after = std::chrono::seconds(10);
  kernel::Duration list_wait = std::chrono::seconds(20);
  std::uint32_t fanout = 3;
  // Agents whose heartbeats an entry asks for directly, unless `Follow` names
  // others.
  std::uint32_t followed = 64;
  std::uint32_t list_readers_per_data_centre = 2;
  // The first read of the list is spread over this time, for a whole fleet
  // may start at once.
  kernel::Duration first_read_spread = std::chrono::seconds(2);
};

// Who may exist (the platform's list) and who answers (heartbeats). State
// machine without sockets, threads or clocks.
class Membership {
 public:
  Membership(MembershipSettings settings, kernel::Random random);
  ~Membership();

  void OnInstances(kernel::Time now, InstancesRead read);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<MembershipOutput> TakeOutputs();

  // Updates what this process says of itself; spread with the next heartbeat,
  // at once when it starts to leave.
  void SetLeaving(kernel::Time now);
  void SetReady(std::string running_digest,
                std::uint64_t revision,
                std::uint64_t accepted_revision = 0);
  void SetLoad(Load load);

  // Names the agents whose heartbeats this process wants directly, because it
  // sends calls to them. Replaces the default choice.
  void Follow(std::vector<std::string> instances);

  // Finds another process, or this one: its state is then what the list and
  // the peers say of it.
  const Member* Find(std::string_view instance) const;
  // Returns all others, in order of name, without those that the list has
  // dropped.
  std::vector<const Member*> All() const;
  // True once the platform's list was read.
  bool HasList() const;
  // True if a later run of this instance was heard, so that this one must
  // stop acting for it.
  bool IsSuperseded() const;
  // Returns the agents of a service, in order of name.
  std::vector<const Member*> AgentsOf(std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_MEMBERSHIP_MEMBERSHIP_H_
