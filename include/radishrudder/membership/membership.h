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

// An instance as described by the platform's instance list.
struct ListedInstance {
  std::string instance;
  Role role = Role::kAgent;
  std::string service;  // Service of an agent; empty for an entry.
  std::string address;  // "ip:port" of the radishrudder process.
  std::string data_centre;
  std::string region;
  bool leaving = false;
};

// Number of running and waiting calls of an endpoint, and the number that it
// can run at a time, as last reported.
struct Load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
};

// Known information about a process.
struct Member {
  ListedInstance listed;
  std::uint64_t incarnation = 0;  // 0: no heartbeat received yet.
  State state = State::kLive;
  std::string running_digest;
  std::uint64_t ready_revision = 0;
  // Highest document revision that has been in force in the process while it
  // served calls.
  std::uint64_t accepted_revision = 0;
  Load load;
  // Time at which this process received the latest heartbeat about the member,
  // directly or through a peer.
  kernel::Time last_heartbeat{};
};

// Requests a read of the platform's instance list. With a non-zero `wait` the
// read waits up to that long for a revision higher than `after`.
struct StartInstanceListRead {
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

// Result of a read of the instance list. The other fields are unspecified
// unless `succeeded` is true.
struct InstanceListResult {
  bool succeeded = false;
  std::uint64_t revision = 0;
  std::vector<ListedInstance> instances;  // The complete list.
};

// Reports that information about a member changed; `Find` returns the new
// state.
struct MemberChanged {
  std::string instance;
};

using MembershipOutput =
    std::variant<wire::Send, StartInstanceListRead, MemberChanged>;

// Identity and location of this process, as it reports them to peers.
struct LocalMember {
  wire::ProcessKey key;
  ListedInstance listed;
};

struct MembershipSettings {
  LocalMember self;
  kernel::Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Time without a heartbeat after which a neighbour is suspected.
  kernel::Duration suspect_after = std::chrono::seconds(3);
  // Time from an unrefuted suspicion to the state `kDead`.
  kernel::Duration dead_after = std::chrono::seconds(10);
  // Maximum time that a watch of the instance list waits for a change. Other
  // reads are repeated after a random 0.5 to 1.5 times this.
  kernel::Duration list_watch_wait = std::chrono::seconds(20);
  // Number of hash rings over the data centre, see
  // `dissemination::ChooseNeighbours`.
  std::uint32_t local_rings = 3;
  // Maximum number of agents whose heartbeats an entry requests directly,
  // unless `Follow` names others.
  std::uint32_t maximum_followed_agents = 64;
  std::uint32_t list_watchers_per_data_centre = 2;
  // The first read of the list has a random delay up to this time, because all
  // processes of a fleet may start at once.
  kernel::Duration initial_read_spread = std::chrono::seconds(2);
};

// Tracks the processes of the fleet: the platform's instance list determines
// which ones exist, and heartbeats determine which ones respond. State machine
// without sockets, threads or clocks.
class Membership {
 public:
  Membership(MembershipSettings settings, kernel::Random random);
  ~Membership();

  void OnInstanceList(kernel::Time now, InstanceListResult read);
  void OnMessage(kernel::Time now, const wire::Envelope& message);
  void OnTick(kernel::Time now);
  kernel::Time NextTick() const;
  std::vector<MembershipOutput> TakeOutputs();

  // Update what this process reports about itself. `SetLeaving` sends it at
  // once, `SetReady` with the next tick, `SetLoad` with the next heartbeat.
  void SetLeaving(kernel::Time now);
  void SetReady(std::string running_digest,
                std::uint64_t revision,
                std::uint64_t accepted_revision = 0);
  void SetLoad(Load load);

  // Sets the agents whose heartbeats this process requests directly, because it
  // sends calls to them. Replaces the default selection.
  void Follow(std::vector<std::string> instances);

  // Returns the information about a process, or null. For this process, it is
  // what the list and the peers report.
  const Member* Find(std::string_view instance) const;
  // Returns all other processes in order of name, excluding those that were
  // removed from the list.
  std::vector<const Member*> All() const;
  // Returns whether a read of the platform's list has succeeded.
  bool HasList() const;
  // Returns whether a heartbeat reported a later run (a higher incarnation) of
  // this instance. This process must then stop acting for the instance.
  bool IsSuperseded() const;
  // Returns the agents of a service, in order of name.
  std::vector<const Member*> AgentsOf(std::string_view service) const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace radishrudder::membership

#endif  // RADISHRUDDER_MEMBERSHIP_MEMBERSHIP_H_
