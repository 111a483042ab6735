#include "radishrudder/membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "failure_detector.h"
#include "heartbeat_targets.h"
#include "list_schedule.h"
#include "member_gossip.h"
#include "member_table.h"
#include "self_report.h"

namespace radishrudder::membership {
namespace {

// Number of other members that a heartbeat reports in round-robin order. Only
// the message to one neighbour carries them, to the next one each time.
constexpr std::size_t kRoundRobinMembersPerHeartbeat = 4;
// Maximum number of members reported at once to a neighbour that just started.
constexpr std::size_t kMaximumInitialSyncMembers = 64;
// One of this many heartbeats also goes to the followed agents that are not
// neighbours, and requests their heartbeats.
constexpr std::uint64_t kHeartbeatsPerFollowRequest = 8;
// Followers receive one of this many heartbeats.
constexpr std::uint64_t kHeartbeatsPerFollowerHeartbeat = 2;
// One of this many heartbeats to a follower carries the status besides the
// load.
constexpr std::uint64_t kFollowerHeartbeatsPerStatus = 5;
constexpr kernel::Duration kUnlistedMemberTimeout = std::chrono::seconds(60);

}  // namespace

struct Membership::State {
  State(MembershipSettings membership_settings, kernel::Random random)
      : settings(std::move(membership_settings)),
        self_name(settings.self.key.instance),
        report(settings.self),
        targets(settings, table),
        detector(table, settings.suspect_after, settings.dead_after),
        list(settings.list_watch_wait,
             settings.initial_read_spread,
             kernel::Random(random.Next())),
        heartbeat_phase(random.Uniform()) {}

  void Start(kernel::Time now);
  void OnListChanged(kernel::Time now, const std::vector<std::string>& names);
  void OnHeartbeat(kernel::Time now,
                   const wire::ProcessKey& from,
                   const wire::Heartbeat& heartbeat);
  void OnHeartbeatAboutSelf(kernel::Time now, const wire::Heartbeat& heartbeat);
  void OnStatusChange(kernel::Time now,
                      const wire::ProcessKey& from,
                      const wire::Heartbeat& heartbeat,
                      bool is_new_run);
  void SendInitialSync(const std::string& neighbour);
  void RefuteStaleSuspicion(kernel::Time now, const wire::Heartbeat& heartbeat);
  void CheckUnresponsiveMembers(kernel::Time now);
  void SendHeartbeats(kernel::Time now);
  void SendToNeighbours(const wire::Heartbeat& own_heartbeat);
  void SendToFollowers(kernel::Time now);
  void SendUpdates();
  void SendStatus(kernel::Time now);
  void UpdateTargets(kernel::Time now);
  void StartDueRead(kernel::Time now);
  void Send(const std::string& to, wire::HeartbeatBatch batch);
  void SendHeartbeat(const std::string& to, const wire::Heartbeat& heartbeat);

  MembershipSettings settings;
  const std::string& self_name;
  std::vector<MembershipOutput> outputs;
  MemberTable table;
  SelfReport report;
  HeartbeatTargets targets;
  FailureDetector detector;
  ListSchedule list;
  MemberGossip gossip;
  double heartbeat_phase;
  std::uint64_t list_revision = 0;
  std::uint64_t heartbeat_count = 0;
  kernel::Time next_heartbeat = kernel::Time::max();
  bool has_list = false;
  bool targets_changed = false;
  bool started = false;
  bool superseded = false;
};

void Membership::State::Start(kernel::Time now) {
  if (started) {
    return;
  }
  started = true;
  list.Start(now);
  Record& self_record = table.Records()[self_name];
  self_record.member.listed = settings.self.listed;
  self_record.member.listed.instance = self_name;
  self_record.is_listed = true;
  next_heartbeat = now + std::chrono::duration_cast<kernel::Duration>(
                             settings.heartbeat_interval * heartbeat_phase);
}

void Membership::State::OnListChanged(kernel::Time now,
                                      const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const Record* record = table.Find(name);
    if (record != nullptr && record->member.listed.leaving) {
      gossip.Add(now, name, {});
    }
    outputs.emplace_back(MemberChanged{name});
  }
  if (table.Find(self_name)->member.listed.leaving && !report.IsLeaving()) {
    report.SetLeaving();
    SendStatus(now);
  }
  UpdateTargets(now);
}

void Membership::State::OnHeartbeat(kernel::Time now,
                                    const wire::ProcessKey& from,
                                    const wire::Heartbeat& heartbeat) {
  if (!heartbeat.has_process()) {
    wire::Heartbeat of_sender = heartbeat;
    *of_sender.mutable_process() = wire::ToMessage(from);
    OnHeartbeat(now, from, of_sender);
    return;
  }
  const std::string& instance = heartbeat.process().instance();
  if (instance == self_name) {
    OnHeartbeatAboutSelf(now, heartbeat);
    return;
  }
  const bool is_direct = instance == from.instance;
  const Record* before = table.Find(instance);
  // A run that is new to this process, or responds again after being dead, may
  // have missed updates.
  const bool is_new_run =
      before == nullptr || before->member.state == membership::State::kDead ||
      before->member.incarnation != heartbeat.process().incarnation();
  const Change change = table.Apply(now, heartbeat, is_direct);
  if (is_direct && change != Change::kStale) {
    targets.OnDirectHeartbeat(now, instance);
  }
  if (change == Change::kStatusChanged) {
    OnStatusChange(now, from, heartbeat, is_new_run);
  } else if (change == Change::kRefreshed && heartbeat.has_load()) {
    outputs.emplace_back(MemberChanged{instance});
  } else if (change == Change::kStale) {
    RefuteStaleSuspicion(now, heartbeat);
  }
}

void Membership::State::OnHeartbeatAboutSelf(kernel::Time now,
                                             const wire::Heartbeat& heartbeat) {
  const std::uint64_t incarnation = heartbeat.process().incarnation();
  if (incarnation > settings.self.key.incarnation) {
    superseded = true;
    return;
  }
  const bool is_reported_unavailable =
      heartbeat.state() == wire::INSTANCE_STATE_SUSPECTED ||
      heartbeat.state() == wire::INSTANCE_STATE_DEAD;
  const bool is_reported_leaving =
      heartbeat.state() == wire::INSTANCE_STATE_LEAVING && !report.IsLeaving();
  if (incarnation != settings.self.key.incarnation) {
    return;
  }
  if (is_reported_leaving) {
    report.SetLeaving();
    table.Find(self_name)->member.state = membership::State::kLeaving;
    outputs.emplace_back(MemberChanged{self_name});
  }
  if (is_reported_unavailable || is_reported_leaving) {
    report.Refute(heartbeat.sequence());
    SendStatus(now);
  }
}

void Membership::State::OnStatusChange(kernel::Time now,
                                       const wire::ProcessKey& from,
                                       const wire::Heartbeat& heartbeat,
                                       bool is_new_run) {
  const std::string& instance = heartbeat.process().instance();
  const Record& record = *table.Find(instance);
  if (record.member.state == membership::State::kSuspected) {
    detector.OnSuspected(instance);
  }
  gossip.Add(now, instance, from.instance);
  outputs.emplace_back(MemberChanged{instance});
  if (!is_new_run) {
    return;
  }
  UpdateTargets(now);
  if (instance == from.instance && targets.Neighbours().contains(instance)) {
    SendInitialSync(instance);
  }
}

// Sends known members to a neighbour that just started and has only the list.
void Membership::State::SendInitialSync(const std::string& neighbour) {
  wire::HeartbeatBatch batch;
  *batch.add_heartbeats() = report.MakeFull();
  gossip.AppendRoundRobin(table, kMaximumInitialSyncMembers, batch);
  Send(neighbour, std::move(batch));
}

// Responds to an outdated suspicion of a member that has recently sent a direct
// heartbeat, by queueing its newer status.
void Membership::State::RefuteStaleSuspicion(kernel::Time now,
                                             const wire::Heartbeat& heartbeat) {
  const std::string& instance = heartbeat.process().instance();
  const Record* record = table.Find(instance);
  const bool is_reported_suspected =
      heartbeat.state() == wire::INSTANCE_STATE_SUSPECTED;
  const bool same_run =
      record->member.incarnation == heartbeat.process().incarnation();
  const bool has_recent_heartbeat =
      now - record->last_direct_heartbeat < settings.suspect_after &&
      record->last_direct_heartbeat != kernel::Time{};
  if (is_reported_suspected && same_run && has_recent_heartbeat) {
    gossip.Add(now, instance, {});
  }
}

void Membership::State::CheckUnresponsiveMembers(kernel::Time now) {
  const std::vector<std::string> changed = detector.MarkUnresponsive(now);
  for (const std::string& name : changed) {
    const bool is_neighbour = targets.Neighbours().contains(name);
    const bool suspected =
        table.Find(name)->member.state == membership::State::kSuspected;
    if (is_neighbour && suspected) {
      gossip.Add(now, name, {});
    }
    outputs.emplace_back(MemberChanged{name});
  }
}

void Membership::State::SendHeartbeats(kernel::Time now) {
  next_heartbeat = std::max(next_heartbeat + settings.heartbeat_interval,
                            now + settings.heartbeat_interval / 2);
  report.Advance();
  ++heartbeat_count;
  const wire::Heartbeat own_heartbeat = report.MakePeriodic();
  SendToNeighbours(own_heartbeat);
  SendToFollowers(now);
  if (heartbeat_count % kHeartbeatsPerFollowRequest == 1) {
    for (const std::string& agent : targets.Followed()) {
      if (!targets.Neighbours().contains(agent)) {
        SendHeartbeat(agent, report.MakeLoadOnly());
      }
    }
  }
}

void Membership::State::SendToFollowers(kernel::Time now) {
  if (heartbeat_count % kHeartbeatsPerFollowerHeartbeat != 0) {
    return;
  }
  const bool carries_status = heartbeat_count /
                                  kHeartbeatsPerFollowerHeartbeat %
                                  kFollowerHeartbeatsPerStatus ==
                              0;
  const wire::Heartbeat own_heartbeat =
      carries_status ? report.MakePeriodic() : report.MakeLoadOnly();
  for (const std::string& follower : targets.Followers(now)) {
    if (!targets.Followed().contains(follower)) {
      SendHeartbeat(follower, own_heartbeat);
    }
  }
}

void Membership::State::SendToNeighbours(const wire::Heartbeat& own_heartbeat) {
  const std::size_t count = targets.Neighbours().size();
  std::size_t index = 0;
  for (const std::string& neighbour : targets.Neighbours()) {
    wire::HeartbeatBatch batch;
    *batch.add_heartbeats() = own_heartbeat;
    if (index == heartbeat_count % count) {
      gossip.AppendRoundRobin(table, kRoundRobinMembersPerHeartbeat, batch);
    }
    Send(neighbour, std::move(batch));
    ++index;
  }
}

void Membership::State::SendUpdates() {
  for (const std::string& neighbour : targets.Neighbours()) {
    wire::HeartbeatBatch batch;
    gossip.AppendUpdates(table, neighbour, batch);
    if (batch.heartbeats_size() != 0) {
      Send(neighbour, std::move(batch));
    }
  }
  gossip.Clear();
}

void Membership::State::SendStatus(kernel::Time now) {
  report.Advance();
  const wire::Heartbeat own_heartbeat = report.MakeFull();
  std::set<std::string> receivers = targets.Neighbours();
  for (const std::string& follower : targets.Followers(now)) {
    receivers.insert(follower);
  }
  for (const std::string& receiver : receivers) {
    SendHeartbeat(receiver, own_heartbeat);
  }
}

void Membership::State::UpdateTargets(kernel::Time now) {
  targets_changed = false;
  targets.Update();
  list.SetWatcher(targets.IsListWatcher());
  detector.SetMonitored(now, targets.Neighbours(), targets.Followed());
}

void Membership::State::StartDueRead(kernel::Time now) {
  const std::optional<StartInstanceListRead> read =
      list.TakeDueRead(now, list_revision);
  if (read.has_value()) {
    outputs.emplace_back(*read);
  }
}

void Membership::State::Send(const std::string& to,
                             wire::HeartbeatBatch batch) {
  wire::Envelope message;
  *message.mutable_from() = wire::ToMessage(settings.self.key);
  *message.mutable_heartbeat_batch() = std::move(batch);
  outputs.emplace_back(wire::Send{to, std::move(message)});
}

void Membership::State::SendHeartbeat(const std::string& to,
                                      const wire::Heartbeat& heartbeat) {
  wire::Envelope message;
  *message.mutable_from() = wire::ToMessage(settings.self.key);
  *message.mutable_heartbeat() = heartbeat;
  outputs.emplace_back(wire::Send{to, std::move(message)});
}

Membership::Membership(MembershipSettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

Membership::~Membership() = default;

void Membership::OnInstanceList(kernel::Time now, InstanceListResult read) {
  State& state = *m_state;
  state.Start(now);
  state.list.OnReadEnded(now, read.succeeded);
  const bool is_newer = read.revision > state.list_revision || !state.has_list;
  if (!read.succeeded || !is_newer) {
    return;
  }
  state.has_list = true;
  state.list_revision = read.revision;
  state.OnListChanged(now, state.table.ApplyList(now, std::move(read.instances),
                                                 state.self_name));
}

void Membership::OnMessage(kernel::Time now, const wire::Envelope& message) {
  State& state = *m_state;
  state.Start(now);
  const wire::ProcessKey from = wire::FromMessage(message.from());
  if (message.has_heartbeat()) {
    state.OnHeartbeat(now, from, message.heartbeat());
  }
  for (const wire::Heartbeat& heartbeat :
       message.heartbeat_batch().heartbeats()) {
    state.OnHeartbeat(now, from, heartbeat);
  }
}

void Membership::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.Start(now);
  state.StartDueRead(now);
  if (now >= state.next_heartbeat) {
    state.CheckUnresponsiveMembers(now);
    state.SendHeartbeats(now);
    if (!state.table.RemoveExpired(now, kUnlistedMemberTimeout).empty() ||
        state.targets_changed) {
      state.UpdateTargets(now);
    }
  }
  if (state.report.HasUnsentChanges()) {
    state.SendStatus(now);
  }
  if (now >= state.gossip.NextSend()) {
    state.SendUpdates();
  }
}

kernel::Time Membership::NextTick() const {
  const State& state = *m_state;
  if (!state.started || state.report.HasUnsentChanges()) {
    return kernel::Time::min();
  }
  return std::min(
      {state.next_heartbeat, state.gossip.NextSend(), state.list.NextRead()});
}

std::vector<MembershipOutput> Membership::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

void Membership::SetLeaving(kernel::Time now) {
  m_state->Start(now);
  m_state->report.SetLeaving();
  m_state->SendStatus(now);
}

void Membership::SetReady(std::string running_digest,
                          std::uint64_t revision,
                          std::uint64_t accepted_revision) {
  m_state->report.SetReady(std::move(running_digest), revision,
                           accepted_revision);
}

void Membership::SetLoad(Load load) {
  m_state->report.SetLoad(load);
}

void Membership::Follow(std::vector<std::string> instances) {
  m_state->targets.Follow(std::move(instances));
  m_state->targets_changed = true;
}

const Member* Membership::Find(std::string_view instance) const {
  const Record* record = std::as_const(m_state->table).Find(instance);
  return record == nullptr ? nullptr : &record->member;
}

std::vector<const Member*> Membership::All() const {
  std::vector<const Member*> all;
  for (const auto& [name, record] : m_state->table.Records()) {
    const bool delisted = record.was_listed && !record.is_listed;
    if (name != m_state->self_name && !delisted) {
      all.push_back(&record.member);
    }
  }
  return all;
}

bool Membership::HasList() const {
  return m_state->has_list;
}

bool Membership::IsSuperseded() const {
  return m_state->superseded;
}

std::vector<const Member*> Membership::AgentsOf(
    std::string_view service) const {
  std::vector<const Member*> agents;
  for (const Member* member : All()) {
    if (member->listed.role == Role::kAgent &&
        member->listed.service == service) {
      agents.push_back(member);
    }
  }
  return agents;
}

}  // namespace radishrudder::membership
