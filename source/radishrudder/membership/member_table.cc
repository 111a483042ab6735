#include "member_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace radishrudder::membership {
namespace {

State FromWire(wire::InstanceState state) {
  switch (state) {
    case wire::INSTANCE_STATE_LEAVING:
      return State::kLeaving;
    case wire::INSTANCE_STATE_SUSPECTED:
      return State::kSuspected;
    case wire::INSTANCE_STATE_DEAD:
      return State::kDead;
    default:
      return State::kLive;
  }
}

// Among states reported with the same sequence, the most severe one takes
// precedence.
int SeverityOf(State state) {
  switch (state) {
    case State::kLive:
      return 0;
    case State::kSuspected:
      return 1;
    case State::kLeaving:
      return 2;
    case State::kDead:
      return 3;
  }
  return 0;
}

Role RoleFrom(std::string_view role) {
  return role == "entry" ? Role::kEntry : Role::kAgent;
}

// Returns the fields whose changes are sent to other processes at once.
auto StatusOf(const Member& member) {
  return std::tie(member.incarnation, member.state, member.running_digest,
                  member.ready_revision, member.accepted_revision);
}

void ApplyLocation(const wire::Heartbeat& heartbeat, Record& record) {
  if (record.is_listed || heartbeat.address().empty()) {
    return;
  }
  ListedInstance& listed = record.member.listed;
  listed.role = RoleFrom(heartbeat.role());
  listed.service = heartbeat.service();
  listed.address = heartbeat.address();
  listed.data_centre = heartbeat.data_centre();
}

void ApplyStatus(const wire::Heartbeat& heartbeat, Member& member) {
  member.running_digest = heartbeat.running_digest();
  member.ready_revision = heartbeat.ready_revision();
  member.accepted_revision = heartbeat.accepted_revision();
}

void ApplyLoad(const wire::Heartbeat& heartbeat, Member& member) {
  if (heartbeat.has_load()) {
    member.load = {heartbeat.load().running(), heartbeat.load().waiting(),
                   heartbeat.load().capacity()};
  }
}

void ApplyState(kernel::Time now, State state, Record& record) {
  Member& member = record.member;
  if (member.state != State::kSuspected && state == State::kSuspected) {
    record.suspected_at = now;
  }
  member.state = state;
}

// A run that reported that it leaves stays in that state until it is dead.
State StateAfter(const Record& record, bool same_run, State reported_state) {
  const bool leaving = record.member.listed.leaving ||
                       (same_run && record.member.state == State::kLeaving);
  return leaving && reported_state != State::kDead ? State::kLeaving
                                                   : reported_state;
}

enum class Age { kNewer, kSame, kOlder };

Age AgeOf(const wire::Heartbeat& heartbeat, const Record& record) {
  const std::uint64_t incarnation = heartbeat.process().incarnation();
  const std::uint64_t known = record.member.incarnation;
  if (incarnation != known) {
    // A later run may have a lower incarnation than a dead one whose clock was
    // ahead.
    const bool replaces = incarnation > known || known == 0 ||
                          record.member.state == State::kDead;
    return replaces ? Age::kNewer : Age::kOlder;
  }
  if (heartbeat.sequence() != record.sequence) {
    return heartbeat.sequence() > record.sequence ? Age::kNewer : Age::kOlder;
  }
  return Age::kSame;
}

}  // namespace

wire::InstanceState ToWire(State state) {
  switch (state) {
    case State::kLive:
      return wire::INSTANCE_STATE_LIVE;
    case State::kLeaving:
      return wire::INSTANCE_STATE_LEAVING;
    case State::kSuspected:
      return wire::INSTANCE_STATE_SUSPECTED;
    case State::kDead:
      return wire::INSTANCE_STATE_DEAD;
  }
  return wire::INSTANCE_STATE_UNSPECIFIED;
}

wire::Heartbeat MakeHeartbeat(const Record& record, bool with_location) {
  const Member& member = record.member;
  wire::Heartbeat heartbeat;
  heartbeat.mutable_process()->set_instance(member.listed.instance);
  heartbeat.mutable_process()->set_incarnation(member.incarnation);
  heartbeat.set_sequence(record.sequence);
  heartbeat.set_state(ToWire(member.state));
  heartbeat.set_role(member.listed.role == Role::kEntry ? "entry" : "agent");
  heartbeat.set_running_digest(member.running_digest);
  heartbeat.set_ready_revision(member.ready_revision);
  heartbeat.set_accepted_revision(member.accepted_revision);
  if (with_location) {
    heartbeat.set_service(member.listed.service);
    heartbeat.set_address(member.listed.address);
    heartbeat.set_data_centre(member.listed.data_centre);
  }
  return heartbeat;
}

std::vector<std::string> MemberTable::ApplyList(
    kernel::Time now,
    std::vector<ListedInstance> instances,
    std::string_view self) {
  std::vector<std::string> changed;
  std::set<std::string> listed_names;
  for (ListedInstance& listed : instances) {
    listed_names.insert(listed.instance);
    ApplyListed(std::move(listed), changed);
  }
  for (auto& [name, record] : m_records) {
    if (record.is_listed && name != self && !listed_names.contains(name)) {
      record.is_listed = false;
      record.delisted_at = now;
      record.member.state = State::kDead;
      changed.push_back(name);
    }
  }
  return changed;
}

void MemberTable::ApplyListed(ListedInstance listed,
                              std::vector<std::string>& changed) {
  Record& record = m_records[listed.instance];
  const ListedInstance& before = record.member.listed;
  const bool has_changed =
      !record.is_listed || before.address != listed.address ||
      before.leaving != listed.leaving || before.service != listed.service;
  const bool is_relisted = !record.is_listed && record.was_listed;
  record.is_listed = true;
  record.was_listed = true;
  if (is_relisted && record.member.state == State::kDead) {
    record.member.state = State::kLive;
  }
  if (listed.leaving && record.member.state != State::kDead) {
    record.member.state = State::kLeaving;
  }
  if (has_changed) {
    changed.push_back(listed.instance);
  }
  record.member.listed = std::move(listed);
}

Change MemberTable::ApplyLoadOnly(kernel::Time now,
                                  const wire::Heartbeat& heartbeat) {
  Record* record = Find(heartbeat.process().instance());
  if (record == nullptr ||
      record->member.incarnation != heartbeat.process().incarnation()) {
    return Change::kNone;
  }
  record->last_direct_heartbeat = now;
  record->member.last_heartbeat = now;
  if (record->member.state == State::kSuspected) {
    record->member.state = State::kLive;
  }
  ApplyLoad(heartbeat, record->member);
  return Change::kRefreshed;
}

Change MemberTable::Apply(kernel::Time now,
                          const wire::Heartbeat& heartbeat,
                          bool is_direct) {
  // A heartbeat without a role carries the load alone.
  if (heartbeat.role().empty()) {
    return ApplyLoadOnly(now, heartbeat);
  }
  Record& record = m_records[heartbeat.process().instance()];
  Member& member = record.member;
  member.listed.instance = heartbeat.process().instance();
  const auto status = StatusOf(member);
  const std::tuple<std::uint64_t, State, std::string, std::uint64_t,
                   std::uint64_t>
      status_before = status;
  const State reported_state = FromWire(heartbeat.state());
  const Age age = AgeOf(heartbeat, record);
  if (age == Age::kOlder) {
    return Change::kStale;
  }
  const bool same_run = member.incarnation == heartbeat.process().incarnation();
  if (age == Age::kSame &&
      SeverityOf(reported_state) <= SeverityOf(member.state)) {
    return Change::kNone;
  }
  ApplyState(now, StateAfter(record, same_run, reported_state), record);
  if (age == Age::kNewer) {
    member.incarnation = heartbeat.process().incarnation();
    record.sequence = heartbeat.sequence();
    ApplyLocation(heartbeat, record);
    ApplyStatus(heartbeat, member);
    ApplyLoad(heartbeat, member);
    member.last_heartbeat = now;
  }
  if (is_direct) {
    record.last_direct_heartbeat = now;
  }
  return StatusOf(member) == status_before ? Change::kRefreshed
                                           : Change::kStatusChanged;
}

std::vector<std::string> MemberTable::RemoveExpired(kernel::Time now,
                                                    kernel::Duration after) {
  std::vector<std::string> expired;
  for (const auto& [name, record] : m_records) {
    const kernel::Time since =
        std::max(record.member.last_heartbeat, record.delisted_at);
    if (!record.is_listed && now - since > after) {
      expired.push_back(name);
    }
  }
  for (const std::string& name : expired) {
    m_records.erase(name);
  }
  return expired;
}

Record* MemberTable::Find(std::string_view instance) {
  const auto found = m_records.find(instance);
  return found == m_records.end() ? nullptr : &found->second;
}

const Record* MemberTable::Find(std::string_view instance) const {
  const auto found = m_records.find(instance);
  return found == m_records.end() ? nullptr : &found->second;
}

}  // namespace radishrudder::membership
