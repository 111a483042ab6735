#include "radishrudder/staging/stager.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

#include "radishrudder/kernel/findings.h"
#include "radishrudder/kernel/hash.h"
#include "source/radishrudder/staging/stage_area.h"

namespace radishrudder::staging {
namespace {

using std::chrono::milliseconds;

// Writes and reads of the staging area at once.
constexpr std::size_t kParallelStaging = 4;
// Time between two reports of the endpoint: while it loads, while a version is
// on its way, and otherwise.
constexpr milliseconds kReportWhileLoading{100};
constexpr milliseconds kReportWhileStaging{400};
constexpr milliseconds kReportAtRest{1000};
// The list of pieces goes down a tree of this width from the instance that
// read it; one that has none yet reads it itself after this time and rank.
constexpr std::size_t kListTreeWidth = 4;
constexpr milliseconds kListPatience{350};
constexpr milliseconds kListPatienceARank{60};
constexpr milliseconds kLongestListPatience{1500};
constexpr milliseconds kListRetry{250};
// Pieces of the origin that do not match a list before the list is doubted.
constexpr std::uint32_t kRejectionsToDoubtList = 6;
// After an order that did not begin, and after one that began without effect.
constexpr milliseconds kOrderRetry{300};
constexpr milliseconds kLoadWithoutEffect{1000};
constexpr milliseconds kOrderAnswerTimeout{1500};
// Time between two looks at what can go on.
constexpr milliseconds kStep{50};

std::string FileOf(const VersionName& version) {
  return version.model + "/" + std::to_string(version.number);
}

std::optional<VersionName> VersionOf(std::string_view file) {
  const std::size_t slash = file.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  VersionName version{.model = std::string(file.substr(0, slash))};
  const char* end = file.data() + file.size();
  const auto parsed =
      std::from_chars(file.data() + slash + 1, end, version.number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

weights::Manifest ManifestOf(const VersionName& version,
                             const PieceList& list) {
  weights::Manifest manifest;
  manifest.file = FileOf(version);
  for (const weights::Digest& digest : list.digests) {
    manifest.chunks.push_back({digest, manifest.size, list.piece_bytes});
    manifest.size += list.piece_bytes;
  }
  return manifest;
}

}  // namespace

struct Stager::State {
  enum class Phase { kStaging, kWaitingForTurn, kChecking, kOrdered, kLoading };

  State(StagerSettings given, kernel::Random source, kernel::Time now)
      : settings(std::move(given)),
        random(source),
        transfer(settings.transfer, kernel::Random(random.Next()), now) {}

  void Advance(kernel::Time now);
  void AskReportIfDue(kernel::Time now);
  void SeekList(kernel::Time now);
  void AdoptList(kernel::Time now, const weights::Manifest& manifest);
  void ForwardList();
  std::vector<std::string> OrderOfInstances() const;
  std::size_t RankOfSelf() const;
  bool Runs() const;
  void ReadOwnStage();
  void Stage();
  void Check(kernel::Time now);
  void TakeTransferOutputs(kernel::Time now);
  kernel::Time TurnOf() const;
  void Tell(Progress::Kind kind, std::string detail = {});
  const weights::Digest& DigestOf(std::uint32_t index) const {
    return manifest->chunks[index].digest;
  }

  StagerSettings settings;
  kernel::Random random;
  weights::Transfer transfer;
  std::vector<StagerOutput> outputs;
  std::vector<weights::TransferPeer> peers;

  std::optional<VersionName> target;
  kernel::Time declared_at{};
  bool just_declared = false;
  std::optional<weights::Manifest> manifest;  // Of the target.
  std::string manifest_text;
  std::string manifest_digest;
  bool list_asked = false;
  kernel::Time next_list{};
  std::uint32_t rejections = 0;
  bool wanted = false;  // The transfer knows of the target.
  // Pieces read from the own staging area before that, by index.
  std::map<std::uint32_t, std::string> own_pieces;
  kernel::Time last_tick{};
  bool complete = false;  // All pieces are here.

  StageArea area;
  Phase phase = Phase::kStaging;
  kernel::Time phase_began{};
  kernel::Time retry_order_at{};
  std::optional<EndpointReport> report;
  bool report_asked = false;
  kernel::Time next_report{};
  bool told_running = false;
};

bool Stager::State::Runs() const {
  return report && report->reachable && target &&
         report->model == target->model && report->version == target->number;
}

void Stager::State::Tell(Progress::Kind kind, std::string detail) {
  outputs.emplace_back(
      Progress{kind, target.value_or(VersionName()), std::move(detail)});
}

std::vector<std::string> Stager::State::OrderOfInstances() const {
  std::vector<std::string> names{settings.transfer.self.instance};
  for (const weights::TransferPeer& peer : peers) {
    if (peer.alive && peer.instance != names.front()) {
      names.push_back(peer.instance);
    }
  }
  std::vector<std::string> ordered;
  for (const std::size_t index :
       kernel::RendezvousOrder(FileOf(*target), names)) {
    ordered.push_back(names[index]);
  }
  return ordered;
}

std::size_t Stager::State::RankOfSelf() const {
  const std::vector<std::string> order = OrderOfInstances();
  return static_cast<std::size_t>(
      std::ranges::find(order, settings.transfer.self.instance) -
      order.begin());
}

// Endpoints change one after the other, so that the others can serve; one that
// serves nothing need not wait.
kernel::Time Stager::State::TurnOf() const {
  if (!report || report->version == 0) {
    return declared_at;
  }
  // A version that is not new has used up an unknown part of its time.
  const kernel::Time begin =
      just_declared ? declared_at + settings.turn_begin : declared_at;
  const std::size_t count = std::max<std::size_t>(peers.size(), 1);
  const auto window = settings.turn_end - settings.turn_begin;
  const double share =
      static_cast<double>(RankOfSelf()) / static_cast<double>(count);
  return begin + std::chrono::duration_cast<kernel::Duration>(window * share);
}

void Stager::State::AskReportIfDue(kernel::Time now) {
  if (report_asked || now < next_report) {
    return;
  }
  report_asked = true;
  outputs.emplace_back(AskReport{});
}

void Stager::State::SeekList(kernel::Time now) {
  // The others got the list long ago and will not send it again: one that
  // comes without weights reads it at once.
  const bool late = !just_declared && report->version == 0;
  if (manifest || list_asked || (now < next_list && !late)) {
    return;
  }
  list_asked = true;
  outputs.emplace_back(FetchPieceList{*target});
}

void Stager::State::AdoptList(kernel::Time now, const weights::Manifest& list) {
  manifest = list;
  manifest_text = weights::ToText(list);
  manifest_digest = weights::IdentityOf(list);
  rejections = 0;
  area.Reset(list.chunks.size());
  phase = Phase::kStaging;
  Tell(Progress::Kind::kListKnown, manifest_digest);
  ForwardList();
}

void Stager::State::ForwardList() {
  const std::vector<std::string> order = OrderOfInstances();
  const std::size_t first = kListTreeWidth * RankOfSelf() + 1;
  for (std::size_t i = first;
       i < std::min(first + kListTreeWidth, order.size()); ++i) {
    wire::Send send;
    send.to = order[i];
    *send.message.mutable_from() = wire::ToMessage(settings.transfer.self);
    send.message.mutable_manifest_data()->set_manifest_digest(manifest_digest);
    send.message.mutable_manifest_data()->set_content(manifest_text);
    outputs.emplace_back(std::move(send));
  }
}

// An endpoint that runs the target has its pieces staged: read from there,
// they cost nothing and serve the others.
void Stager::State::ReadOwnStage() {
  while (area.InProgress() < kParallelStaging) {
    const auto next = area.Next(StageArea::Piece::kMissing);
    if (!next) {
      return;
    }
    area.Set(*next, StageArea::Piece::kReading);
    outputs.emplace_back(ReadStaged{*target, *next});
  }
}

void Stager::State::Stage() {
  for (std::uint32_t i = 0;
       i < area.Size() && area.InProgress() < kParallelStaging; ++i) {
    if (area.At(i) != StageArea::Piece::kMissing) {
      continue;
    }
    const std::string_view bytes = transfer.ChunkBytes(manifest_digest, i);
    if (!bytes.empty()) {
      area.Set(i, StageArea::Piece::kWriting);
      outputs.emplace_back(StagePiece{*target, i, std::string(bytes)});
    }
  }
}

void Stager::State::Check(kernel::Time now) {
  while (area.InProgress() < kParallelStaging) {
    const auto next = area.Next(StageArea::Piece::kWritten);
    if (!next) {
      return;
    }
    area.Set(*next, StageArea::Piece::kReading);
    outputs.emplace_back(ReadStaged{*target, *next});
  }
}

void Stager::State::Advance(kernel::Time now) {
  AskReportIfDue(now);
  if (!target || !report || !report->reachable) {
    return;
  }
  SeekList(now);
  if (!manifest) {
    return;
  }
  const bool runs = Runs();
  if (runs && !told_running) {
    told_running = true;
    phase = Phase::kStaging;
    Tell(Progress::Kind::kRunning);
  }
  // Pieces that lie in the own staging area come first: only what is missing
  // there is asked of others.
  const bool own_first = (runs || !just_declared) && !wanted;
  if (own_first) {
    ReadOwnStage();
    if (area.Next(StageArea::Piece::kMissing) || area.InProgress() > 0) {
      return;
    }
  }
  if (!wanted) {
    wanted = true;
    transfer.Want(now, {manifest_digest});
    transfer.OnManifestFetched(now, manifest_digest, weights::Source::kOrigin,
                               manifest_text);
    for (auto& [index, bytes] : std::exchange(own_pieces, {})) {
      transfer.OnChunkFetched(now, manifest_digest, index,
                              weights::Source::kStore, std::move(bytes));
    }
  }
  if (runs) {
    return;
  }
  told_running = false;
  if (phase == Phase::kOrdered && now - phase_began >= kOrderAnswerTimeout) {
    phase = Phase::kStaging;
  }
  if (phase == Phase::kLoading && !report->busy &&
      now - phase_began >= kLoadWithoutEffect) {
    // What was ordered did not take effect: check all and order anew.
    phase = Phase::kStaging;
    retry_order_at = now + kOrderRetry;
  }
  if (phase == Phase::kOrdered || phase == Phase::kLoading) {
    return;
  }
  Stage();
  if (!area.AllWritten()) {
    phase = Phase::kStaging;
    return;
  }
  if (phase == Phase::kStaging) {
    phase = Phase::kWaitingForTurn;
    Tell(Progress::Kind::kStaged);
  }
  if (phase == Phase::kWaitingForTurn) {
    if (now < TurnOf() || now < retry_order_at || report->busy) {
      return;
    }
    phase = Phase::kChecking;
    area.BeginCheck(now);
  }
  if (now - *area.CheckBegan() > settings.check_lifetime) {
    area.BeginCheck(now);
  }
  Check(now);
  if (area.AllChecked()) {
    phase = Phase::kOrdered;
    phase_began = now;
    Tell(Progress::Kind::kOrdered,
         "replaces " + std::to_string(report->version));
    outputs.emplace_back(OrderLoad{*target, report->orders});
  }
}

void Stager::State::TakeTransferOutputs(kernel::Time now) {
  for (weights::TransferOutput& output : transfer.TakeOutputs()) {
    if (auto* send = std::get_if<wire::Send>(&output)) {
      // The list of pieces travels by itself; see `ForwardList`.
      if (!send->message.has_manifest_request()) {
        outputs.emplace_back(std::move(*send));
      }
    } else if (const auto* fetch = std::get_if<weights::FetchChunk>(&output)) {
      outputs.emplace_back(FetchPiece{*target, fetch->index});
    } else if (std::holds_alternative<weights::VersionComplete>(output)) {
      complete = true;
      Tell(Progress::Kind::kComplete);
    } else if (const auto* rejected =
                   std::get_if<weights::ChunkRejected>(&output)) {
      Tell(Progress::Kind::kPieceRejected,
           rejected->sender + " piece " + std::to_string(rejected->index));
      if (rejected->sender == "origin" &&
          ++rejections >= kRejectionsToDoubtList) {
        manifest.reset();
        wanted = false;
        next_list = now;
      }
    }
  }
}

Stager::Stager(StagerSettings settings, kernel::Random random, kernel::Time now)
    : m_state(std::make_unique<State>(std::move(settings), random, now)) {}

Stager::~Stager() = default;

void Stager::OnDeclared(kernel::Time now,
                        const VersionName& version,
                        bool just_now) {
  State& state = *m_state;
  if (state.target && (version.model != state.target->model ||
                       version.number <= state.target->number)) {
    return;
  }
  state.target = version;
  state.declared_at = now;
  state.just_declared = just_now;
  state.manifest.reset();
  state.list_asked = false;
  state.wanted = false;
  state.complete = false;
  state.told_running = false;
  state.own_pieces.clear();
  state.area.Reset(0);
  state.phase = State::Phase::kStaging;
  state.Tell(Progress::Kind::kDeclared);
  const std::size_t rank = state.RankOfSelf();
  state.next_list =
      rank == 0 ? now
                : now + std::min<milliseconds>(
                            kListPatience + kListPatienceARank *
                                                static_cast<std::int64_t>(rank),
                            kLongestListPatience);
  OnTick(now);
}

void Stager::OnPeers(kernel::Time now,
                     std::vector<weights::TransferPeer> peers) {
  m_state->peers = peers;
  m_state->transfer.OnPeers(now, std::move(peers));
  OnTick(now);
}

void Stager::OnMessage(kernel::Time now, const wire::Envelope& message) {
  State& state = *m_state;
  if (message.has_manifest_data()) {
    kernel::Findings findings;
    const auto list = weights::ParseManifest(
        message.from().instance(), message.manifest_data().content(), findings);
    if (list && state.target && !state.manifest &&
        VersionOf(list->file) == state.target) {
      state.AdoptList(now, *list);
    }
  } else {
    state.transfer.OnMessage(now, message);
  }
  state.TakeTransferOutputs(now);
  state.Advance(now);
  state.TakeTransferOutputs(now);
}

void Stager::OnPieceList(kernel::Time now,
                         const VersionName& version,
                         std::optional<PieceList> list) {
  State& state = *m_state;
  if (version != state.target) {
    return;
  }
  state.list_asked = false;
  if (!list || list->digests.empty() || list->piece_bytes == 0) {
    state.next_list = now + kListRetry;
  } else if (!state.manifest) {
    state.AdoptList(now, ManifestOf(version, *list));
  }
  OnTick(now);
}

void Stager::OnPiece(kernel::Time now,
                     const VersionName& version,
                     std::uint32_t index,
                     std::string bytes) {
  State& state = *m_state;
  if (version == state.target && state.manifest) {
    state.transfer.OnChunkFetched(now, state.manifest_digest, index,
                                  weights::Source::kOrigin, std::move(bytes));
  }
  OnTick(now);
}

void Stager::OnStaged(kernel::Time now,
                      const VersionName& version,
                      std::uint32_t index,
                      bool stored) {
  State& state = *m_state;
  if (version == state.target && index < state.area.Size() &&
      state.area.At(index) == StageArea::Piece::kWriting) {
    state.area.Set(index, stored ? StageArea::Piece::kWritten
                                 : StageArea::Piece::kMissing);
  }
  OnTick(now);
}

void Stager::OnStagedRead(kernel::Time now,
                          const VersionName& version,
                          std::uint32_t index,
                          std::string bytes) {
  State& state = *m_state;
  if (version != state.target || index >= state.area.Size() ||
      state.area.At(index) != StageArea::Piece::kReading) {
    return;
  }
  const bool right = weights::Sha256(bytes) == state.DigestOf(index);
  if (!state.wanted) {
    // What is wrong here comes from the others later.
    state.area.Set(
        index, right ? StageArea::Piece::kChecked : StageArea::Piece::kWritten);
    if (right) {
      state.own_pieces.emplace(index, std::move(bytes));
    }
  } else {
    if (!right) {
      state.Tell(Progress::Kind::kRepaired, "piece " + std::to_string(index));
    }
    state.area.Set(
        index, right ? StageArea::Piece::kChecked : StageArea::Piece::kMissing);
  }
  OnTick(now);
}

void Stager::OnReport(kernel::Time now, const EndpointReport& report) {
  State& state = *m_state;
  state.report_asked = false;
  const bool restarted = state.report && state.report->reachable &&
                         report.reachable &&
                         report.started != state.report->started;
  if (!report.reachable && state.report) {
    state.report->reachable = false;
  } else {
    state.report = report;
  }
  if (restarted) {
    state.Tell(Progress::Kind::kEndpointRestarted);
    state.told_running = false;
    state.phase = State::Phase::kStaging;
    state.area.Reset(state.area.Size());
  }
  const bool loading = state.phase == State::Phase::kOrdered ||
                       state.phase == State::Phase::kLoading;
  state.next_report = now + (loading         ? kReportWhileLoading
                             : !state.Runs() ? kReportWhileStaging
                                             : kReportAtRest);
  OnTick(now);
}

void Stager::OnOrderResult(kernel::Time now, OrderResult result) {
  State& state = *m_state;
  if (state.phase != State::Phase::kOrdered) {
    return;
  }
  state.next_report = now;
  switch (result) {
    case OrderResult::kBegun:
    case OrderResult::kInEffect:
    case OrderResult::kUnanswered:
      // The endpoint's report tells what it really does.
      state.phase = State::Phase::kLoading;
      state.phase_began = now;
      break;
    case OrderResult::kUnfit:
    case OrderResult::kFailed:
      state.Tell(Progress::Kind::kOrderRefused);
      state.phase = State::Phase::kStaging;
      state.retry_order_at = now + kOrderRetry;
      break;
  }
  OnTick(now);
}

void Stager::OnTick(kernel::Time now) {
  State& state = *m_state;
  state.last_tick = now;
  if (now >= state.transfer.NextTick()) {
    state.transfer.OnTick(now);
  }
  state.TakeTransferOutputs(now);
  state.Advance(now);
  state.TakeTransferOutputs(now);
}

kernel::Time Stager::NextTick() const {
  const State& state = *m_state;
  kernel::Time next = state.transfer.NextTick();
  if (!state.report_asked) {
    next = std::min(next, state.next_report);
  }
  if (state.target && !state.Runs()) {
    next = std::min(next, state.last_tick + kStep);
  }
  return next;
}

std::vector<StagerOutput> Stager::TakeOutputs() {
  return std::exchange(m_state->outputs, {});
}

std::string Stager::Explain(kernel::Time now) const {
  const State& state = *m_state;
  if (!state.target) {
    return "no version is declared";
  }
  std::string text = FileOf(*state.target) + ": ";
  if (!state.report || !state.report->reachable) {
    return text + "the endpoint does not answer";
  }
  if (state.Runs()) {
    return text + "runs";
  }
  if (!state.manifest) {
    return text + "waits for the list of its pieces";
  }
  const auto progress = state.transfer.Progress(state.manifest_digest);
  text += std::to_string(progress.chunks_present) + " of " +
          std::to_string(progress.chunks_total) + " pieces here";
  switch (state.phase) {
    case State::Phase::kStaging:
      return text + ", being staged";
    case State::Phase::kWaitingForTurn:
      return text + ", staged, waits for its turn";
    case State::Phase::kChecking:
      return text + ", being checked";
    case State::Phase::kOrdered:
      return text + ", ordered";
    case State::Phase::kLoading:
      return text + ", loading";
  }
  return text;
}

}  // namespace radishrudder::staging
