#include "radishrudder/membership/membership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "failure_detector.h"
#include "list_schedule.h"
#include "member_table.h"
#include "news.h"
#include "roster.h"
#include "self_report.h"

namespace radishrudder::membership {
namespace {

// Members of the slow walk in one heartbeat, to one neighbour in turn.
constexpr std::size_t kWalkMembers = 4;
// Members told at once to a neighbour that has just started.
constexpr std::size_t kWelcomeMembers = 64;
// A process tells the agents it follows that it does once in this many
// heartbeats.
constexpr std::uint64_t kHeartbeatsPerFollow = 8;
// Followers get one heartbeat in this many.
constexpr std::uint64_t kHeartbeatsPerFollower = 2;
// Of the heartbeats to a follower, one in this many carries all facts.
constexpr std::uint64_t kFollowerHeartbeatsPerFull = 5;
constexpr kernel::Duration kForgetAfter = std::chrono::seconds(60);

}  // namespace

struct Membership::State {
  State(MembershipSettings membership_settings, kernel::Random random)
      : settings(std::move(membership_settings)),
        self_name(settings.self.key.instance),
        report(settings.self),
        roster(settings, table),
        detector(table, settings.suspect_after, settings.dead_after),
        list(settings.list_wait,
             settings.first_read_spread,
             kernel::Random(random.Next())),
        phase(random.Uniform()) {}

  void Begin(kernel::Time now);
  void OnListChanged(kernel::Time now, const std::vector<std::string>& names);
  void OnHeartbeat(kernel::Time now,
                   const wire::ProcessKey& from,
                   const wire::Heartbeat& heartbeat);
  void OnOwnName(kernel::Time now, const wire::Heartbeat& heartbeat);
  void OnChange(kernel::Time now,
                const wire::ProcessKey& from,
                const wire::Heartbeat& heartbeat,
                bool is_new_run);
  void Welcome(const std::string& neighbour);
  void Defend(kernel::Time now, const wire::Heartbeat& heartbeat);
  void CheckSilence(kernel::Time now);
  void SendHeartbeats(kernel::Time now);
  void SendToNeighbours(const wire::Heartbeat& own);
  void SendToFollowers(kernel::Time now);
  void SendNews();
  void TellFacts(kernel::Time now);
  void UpdateRoster(kernel::Time now);
  void StartDueRead(kernel::Time now);
  void Send(const std::string& to, wire::HeartbeatBatch batch);
  void SendOwn(const std::string& to, const wire::Heartbeat& heartbeat);

  MembershipSettings settings;
  const std::string& self_name;
  std::vector<MembershipOutput> outputs;
  MemberTable table;
  SelfReport report;
  Roster roster;
  FailureDetector detector;
  ListSchedule list;
  News news;
  double phase;
  std::uint64_t list_revision = 0;
  std::uint64_t heartbeats = 0;
  kernel::Time next_heartbeat = kernel::Time::max();
  bool has_list = false;
  bool roster_changed = false;
  bool begun = false;
  bool superseded = false;
};

void Membership::State::Begin(kernel::Time now) {
  if (begun) {
    return;
  }
  begun = true;
  list.Begin(now);
  Record& own = table.Records()[self_name];
  own.member.listed = settings.self.listed;
  own.member.listed.instance = self_name;
  own.listed = true;
  next_heartbeat = now + std::chrono::duration_cast<kernel::Duration>(
                             settings.heartbeat_interval * phase);
}

void Membership::State::OnListChanged(kernel::Time now,
                                      const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const Record* record = table.Find(name);
    if (record != nullptr && record->member.listed.leaving) {
      news.Add(now, name, {});
    }
    outputs.emplace_back(MemberChanged{name});
  }
  if (table.Find(self_name)->member.listed.leaving && !report.IsLeaving()) {
    report.SetLeaving();
    TellFacts(now);
  }
  UpdateRoster(now);
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
    OnOwnName(now, heartbeat);
    return;
  }
  const bool is_direct = instance == from.instance;
  const Record* before = table.Find(instance);
  // A run that is new here, or heard again, may have missed news.
  const bool is_new_run =
      before == nullptr || before->member.state == membership::State::kDead ||
      before->member.incarnation != heartbeat.process().incarnation();
  const Change change = table.Apply(now, heartbeat, is_direct);
  if (is_direct && change != Change::kStale) {
    roster.OnFollower(now, instance);
  }
  if (change == Change::kFacts) {
    OnChange(now, from, heartbeat, is_new_run);
  } else if (change == Change::kHeard && heartbeat.has_load()) {
    outputs.emplace_back(MemberChanged{instance});
  } else if (change == Change::kStale) {
    Defend(now, heartbeat);
  }
}

void Membership::State::OnOwnName(kernel::Time now,
                                  const wire::Heartbeat& heartbeat) {
  const std::uint64_t incarnation = heartbeat.process().incarnation();
  if (incarnation > settings.self.key.incarnation) {
    superseded = true;
    return;
  }
  const bool accused = heartbeat.state() == wire::INSTANCE_STATE_SUSPECTED ||
                       heartbeat.state() == wire::INSTANCE_STATE_DEAD;
  const bool told_to_leave =
      heartbeat.state() == wire::INSTANCE_STATE_LEAVING && !report.IsLeaving();
  if (incarnation != settings.self.key.incarnation) {
    return;
  }
  if (told_to_leave) {
    report.SetLeaving();
    table.Find(self_name)->member.state = membership::State::kLeaving;
    outputs.emplace_back(MemberChanged{self_name});
  }
  if (accused || told_to_leave) {
    report.Refute(heartbeat.sequence());
    TellFacts(now);
  }
}

void Membership::State::OnChange(kernel::Time now,
                                 const wire::ProcessKey& from,
                                 const wire::Heartbeat& heartbeat,
                                 bool is_new_run) {
  const std::string& instance = heartbeat.process().instance();
  const Record& record = *table.Find(instance);
  if (record.member.state == membership::State::kSuspected) {
    detector.OnSuspected(instance);
  }
  news.Add(now, instance, from.instance);
  outputs.emplace_back(MemberChanged{instance});
  if (!is_new_run) {
    return;
  }
  UpdateRoster(now);
  if (instance == from.instance && roster.Neighbours().contains(instance)) {
    Welcome(instance);
  }
}

// A neighbour that has just started knows only the list.
void Membership::State::Welcome(const std::string& neighbour) {
  wire::HeartbeatBatch batch;
  *batch.add_heartbeats() = report.Full();
  news.AppendWalk(table, kWelcomeMembers, batch);
  Send(neighbour, std::move(batch));
}

// Answers an old suspicion of a member that was heard directly since.
void Membership::State::Defend(kernel::Time now,
                               const wire::Heartbeat& heartbeat) {
  const std::string& instance = heartbeat.process().instance();
  const Record* record = table.Find(instance);
  const bool accused = heartbeat.state() == wire::INSTANCE_STATE_SUSPECTED;
  const bool same_run =
      record->member.incarnation == heartbeat.process().incarnation();
  const bool heard = now - record->heard_directly < settings.suspect_after &&
                     record->heard_directly != kernel::Time{};
  if (accused && same_run && heard) {
    news.Add(now, instance, {});
  }
}

void Membership::State::CheckSilence(kernel::Time now) {
  const std::vector<std::string> changed = detector.Check(now);
  for (const std::string& name : changed) {
    const bool is_neighbour = roster.Neighbours().contains(name);
    const bool suspected =
        table.Find(name)->member.state == membership::State::kSuspected;
    if (is_neighbour && suspected) {
      news.Add(now, name, {});
    }
    outputs.emplace_back(MemberChanged{name});
  }
}

void Membership::State::SendHeartbeats(kernel::Time now) {
  next_heartbeat = std::max(next_heartbeat + settings.heartbeat_interval,
                            now + settings.heartbeat_interval / 2);
  report.Advance();
  ++heartbeats;
  const wire::Heartbeat own = report.Periodic();
  SendToNeighbours(own);
  SendToFollowers(now);
  if (heartbeats % kHeartbeatsPerFollow == 1) {
    for (const std::string& agent : roster.Followed()) {
      if (!roster.Neighbours().contains(agent)) {
        SendOwn(agent, report.Short());
      }
    }
  }
}

void Membership::State::SendToFollowers(kernel::Time now) {
  if (heartbeats % kHeartbeatsPerFollower != 0) {
    return;
  }
  const bool is_full =
      heartbeats / kHeartbeatsPerFollower % kFollowerHeartbeatsPerFull == 0;
  const wire::Heartbeat own = is_full ? report.Periodic() : report.Short();
  for (const std::string& follower : roster.Followers(now)) {
    if (!roster.Followed().contains(follower)) {
      SendOwn(follower, own);
    }
  }
}

void Membership::State::SendToNeighbours(const wire::Heartbeat& own) {
  const std::size_t count = roster.Neighbours().size();
  std::size_t index = 0;
  for (const std::string& neighbour : roster.Neighbours()) {
    wire::HeartbeatBatch batch;
    *batch.add_heartbeats() = own;
    if (index == heartbeats % count) {
      news.AppendWalk(table, kWalkMembers, batch);
    }
    Send(neighbour, std::move(batch));
    ++index;
  }
}

void Membership::State::SendNews() {
  for (const std::string& neighbour : roster.Neighbours()) {
    wire::HeartbeatBatch batch;
    news.AppendNews(table, neighbour, batch);
    if (batch.heartbeats_size() != 0) {
      Send(neighbour, std::move(batch));
    }
  }
  news.Clear();
}

void Membership::State::TellFacts(kernel::Time now) {
  report.Advance();
  const wire::Heartbeat own = report.Full();
  std::set<std::string> receivers = roster.Neighbours();
  for (const std::string& follower : roster.Followers(now)) {
    receivers.insert(follower);
  }
  for (const std::string& receiver : receivers) {
    SendOwn(receiver, own);
  }
}

void Membership::State::UpdateRoster(kernel::Time now) {
  roster_changed = false;
  roster.Update();
  list.SetWatcher(roster.IsListWatcher());
  detector.Watch(now, roster.Neighbours(), roster.Followed());
}

void Membership::State::StartDueRead(kernel::Time now) {
  const std::optional<ReadInstances> read = list.Due(now, list_revision);
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

void Membership::State::SendOwn(const std::string& to,
                                const wire::Heartbeat& heartbeat) {
  wire::Envelope message;
  *message.mutable_from() = wire::ToMessage(settings.self.key);
  *message.mutable_heartbeat() = heartbeat;
  outputs.emplace_back(wire::Send{to, std::move(message)});
}

Membership::Membership(MembershipSettings settings, kernel::Random random)
    : m_state(std::make_unique<State>(std::move(settings), random)) {}

Membership::~Membership() = default;

void Membership::OnInstances(kernel::Time now, InstancesRead read) {
  State& state = *m_state;
  state.Begin(now);
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
  state.Begin(now);
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
  state.Begin(now);
  state.StartDueRead(now);
  if (now >= state.next_heartbeat) {
    state.CheckSilence(now);
    state.SendHeartbeats(now);
    if (!state.table.Forget(now, kForgetAfter).empty() ||
        state.roster_changed) {
      state.UpdateRoster(now);
    }
  }
  if (state.report.HasNews()) {
    state.TellFacts(now);
  }
  if (now >= state.news.Due()) {
    state.SendNews();
  }
}

kernel::Time Membership::NextTick() const {
  const State& state = *m_state;
  if (!state.begun || state.report.HasNews()) {
    return kernel::Time::min();
  }
  return std::min({state.next_heartbeat, state.news.Due(), state.list.Next()});
}

std::vector<MembershipOutput> Membership::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

void Membership::SetLeaving(kernel::Time now) {
  m_state->Begin(now);
  m_state->report.SetLeaving();
  m_state->TellFacts(now);
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
  m_state->roster.Follow(std::move(instances));
  m_state->roster_changed = true;
}

const Member* Membership::Find(std::string_view instance) const {
  const Record* record = std::as_const(m_state->table).Find(instance);
  return record == nullptr ? nullptr : &record->member;
}

std::vector<const Member*> Membership::All() const {
  std::vector<const Member*> all;
  for (const auto& [name, record] : m_state->table.Records()) {
    const bool delisted = record.was_listed && !record.listed;
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
