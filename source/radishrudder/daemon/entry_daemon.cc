#include "radishrudder/daemon/entry_daemon.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "radishrudder/calls/entry_core.h"
#include "radishrudder/daemon/call_table.h"
#include "radishrudder/daemon/caller_request.h"
#include "radishrudder/daemon/node.h"
#include "radishrudder/daemon/published_document.h"
#include "radishrudder/document/service_document.h"
#include "radishrudder/kernel/hash.h"
#include "radishrudder/logging/events.h"

namespace radishrudder::daemon {
namespace {

// One-way delays assumed until measured.
constexpr double kOtherDataCentreSeconds = 0.005;
constexpr double kOtherRegionSeconds = 0.006;
// Time for the answers to calls that the end of the process ends.
constexpr std::chrono::milliseconds kAnswerLimit{500};

std::vector<http::Header> ToHttpHeaders(std::vector<calls::Header> headers) {
  std::vector<http::Header> converted;
  for (calls::Header& header : headers) {
    // Length and framing are the server's own.
    const bool framing =
        header.name == "content-length" || header.name == "Content-Length" ||
        header.name == "transfer-encoding" ||
        header.name == "Transfer-Encoding" || header.name == "connection" ||
        header.name == "Connection";
    if (!framing) {
      converted.push_back({std::move(header.name), std::move(header.value)});
    }
  }
  return converted;
}

bool IsEventStream(const std::vector<http::Header>& headers) {
  return http::FindHeader(headers, "content-type")
      .starts_with("text/event-stream");
}

double Seconds(kernel::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

class EntryDaemon::Implementation {
 public:
  explicit Implementation(EntrySettings settings)
      : m_settings(std::move(settings)), m_node(m_settings.node) {
    for (std::size_t i = 0; i < m_settings.shards; ++i) {
      m_shards.push_back(std::make_unique<CallShard>(*this, i));
    }
  }

  std::error_code Start() {
    NodeHandlers handlers;
    handlers.on_document = [this](const auto& document) {
      HandleDocument(document);
    };
    handlers.on_members = [this](const std::set<std::string>& services) {
      HandleMembers(services);
    };
    handlers.on_message = [this](const wire::Envelope& message) {
      HandleMessage(message);
    };
    handlers.on_lost = [this](const wire::ProcessKey& peer) {
      ForEachShard([&](auto& core, kernel::Time now) {
        core.OnPeerDisconnected(now, peer);
      });
    };
    handlers.on_unsent = [this](const wire::Envelope& message) {
      HandleUnsent(message);
    };
    handlers.status = [this] { return Status(); };
    handlers.is_ready = [this] {
      return !m_draining && m_node.DocumentsAreCurrent();
    };
    if (const std::error_code error = m_node.Start(std::move(handlers))) {
      return error;
    }
    http::ServerSettings server;
    server.address = m_settings.node.listen;
    server.port = m_settings.port;
    server.threads = m_settings.http_threads;
    server.memory = m_node.CallerMemory();
    m_server = std::make_unique<http::Server>(
        server, [this](http::Request request,
                       const std::shared_ptr<http::Responder>& responder) {
          HandleRequest(std::move(request), responder);
        });
    return m_server->Start();
  }

  void Drain() {
    m_draining = true;
    m_node.SetLeaving();
    ForEachShard([](auto& core, kernel::Time now) { core.OnDrain(now); });
  }

  std::size_t CallsInProgress() const {
    return Sum([](const calls::EntryCore& core) {
      return core.CallsInProgress() + core.CallsWaiting();
    });
  }

  void Stop() {
    if (m_server && !m_stopped) {
      // The server waits for the answers that it has been given.
      ForEachShard([](auto& core, kernel::Time now) { core.EndCalls(now); });
      for (const std::unique_ptr<CallShard>& shard : m_shards) {
        shard->core.AwaitOutputs(kAnswerLimit);
      }
      m_stopped = true;
    }
    if (m_server) {
      m_server->Stop();
    }
    m_node.Stop();
  }

 private:
  // The services of one shard, and the callers that wait for them.
  struct CallShard {
    CallShard(Implementation& owner, std::size_t index)
        : core(
              owner.m_node.Context(),
              [&owner, this](calls::EntryOutput output) {
                owner.HandleOutput(*this, std::move(output));
              },
              owner.MakeCoreSettings(index),
              kernel::Random(kernel::SystemEntropy())) {}

    CallTable callers;
    Shard<calls::EntryCore, calls::EntryOutput> core;
  };

  calls::EntrySettings MakeCoreSettings(std::size_t index) const {
    calls::EntrySettings entry;
    entry.self = m_node.Self();
    entry.data_centre = m_settings.node.data_centre;
    entry.sequences = m_sequences;
    entry.shard = index;
    entry.shard_count = m_settings.shards;
    return entry;
  }

  CallShard& ShardOf(std::string_view service) {
    return *m_shards[kernel::StableHash(service) % m_shards.size()];
  }

  template <typename Count>
  std::size_t Sum(Count count) const {
    std::size_t sum = 0;
    for (const std::unique_ptr<CallShard>& shard : m_shards) {
      sum += shard->core.Ask(count);
    }
    return sum;
  }

  template <typename Action>
  void ForEachShard(Action action) {
    for (const std::unique_ptr<CallShard>& shard : m_shards) {
      shard->core.Run(action);
    }
  }

  void HandleDocument(const dissemination::PublishedDocument& published) {
    CallShard& shard = ShardOf(published.service);
    if (published.deleted) {
      RecordRevision(published);
      shard.core.Run([&](auto& core, kernel::Time now) {
        core.OnDocumentDeleted(now, published.service);
      });
      return;
    }
    const std::optional<document::ServiceDocument> document =
        ParsePublished(published);
    if (!document) {
      return;
    }
    RecordRevision(published);
    shard.core.Run(
        [&](auto& core, kernel::Time now) { core.OnDocument(now, *document); });
    HandleMembers({published.service});
  }

  void RecordRevision(const dissemination::PublishedDocument& published) {
    const std::lock_guard lock(m_revisions_mutex);
    m_revisions[published.service] = published.revision;
  }

  void HandleMembers(const std::set<std::string>& services) {
    for (const std::string& service : services) {
      std::vector<calls::EndpointView> endpoints;
      for (const membership::Member& member : m_node.AgentsOf(service)) {
        if (member.state != membership::State::kDead) {
          endpoints.push_back(ViewOf(member));
        }
      }
      ShardOf(service).core.Run([&](auto& core, kernel::Time now) {
        core.OnEndpoints(now, service, std::move(endpoints));
      });
    }
  }

  calls::EndpointView ViewOf(const membership::Member& member) const {
    calls::EndpointView view;
    view.instance = member.listed.instance;
    view.incarnation = member.incarnation;
    view.data_centre = member.listed.data_centre;
    view.distance_seconds = DistanceTo(member.listed);
    view.leaving = member.state == membership::State::kLeaving;
    view.suspected = member.state == membership::State::kSuspected;
    view.running_digest = member.running_digest;
    view.running = member.load.running;
    view.waiting = member.load.waiting;
    view.capacity = member.load.capacity;
    return view;
  }

  double DistanceTo(const membership::ListedInstance& listed) const {
    if (listed.data_centre == m_settings.node.data_centre) {
      return 0;
    }
    return listed.region == m_settings.node.region ? kOtherDataCentreSeconds
                                                   : kOtherRegionSeconds;
  }

  void HandleMessage(const wire::Envelope& message) {
    const std::optional<std::uint64_t> sequence = SequenceOf(message);
    if (sequence) {
      m_shards[*sequence % m_shards.size()]->core.Run(
          [&](auto& core, kernel::Time now) { core.OnMessage(now, message); });
      return;
    }
    logging::Log(logging::kMessageRejected,
                 {{"from", message.from().instance()},
                  {"problem", "an entry does not take this message"}});
  }

  // The attempt that a message is about; its shard is the remainder.
  static std::optional<std::uint64_t> SequenceOf(
      const wire::Envelope& message) {
    switch (message.body_case()) {
      case wire::Envelope::kStartAttempt:
        return message.start_attempt().id().sequence();
      case wire::Envelope::kCancelAttempt:
        return message.cancel_attempt().id().sequence();
      case wire::Envelope::kAttemptHead:
        return message.attempt_head().id().sequence();
      case wire::Envelope::kAttemptPart:
        return message.attempt_part().id().sequence();
      case wire::Envelope::kAttemptEnd:
        return message.attempt_end().id().sequence();
      case wire::Envelope::kIssueKey:
        return message.issue_key().request();
      case wire::Envelope::kIssuedKey:
        return message.issued_key().request();
      default:
        return std::nullopt;
    }
  }

  void HandleUnsent(const wire::Envelope& message) {
    const std::optional<std::uint64_t> sequence = SequenceOf(message);
    if (sequence) {
      m_shards[*sequence % m_shards.size()]->core.Run(
          [&](auto& core, kernel::Time now) {
            core.OnSendFailed(now, message);
          });
    }
  }

  void HandleRequest(http::Request request,
                     const std::shared_ptr<http::Responder>& responder) {
    std::variant<calls::CallRequest, Problem> parsed =
        ParseCallerRequest(std::move(request));
    if (const Problem* const problem = std::get_if<Problem>(&parsed)) {
      Reply(*problem, *responder);
      return;
    }
    StartCall(std::get<calls::CallRequest>(std::move(parsed)), responder);
  }

  void StartCall(calls::CallRequest request,
                 const std::shared_ptr<http::Responder>& responder) {
    // Read late, the request may have the end of its connection behind it.
    if (responder->HasCallerLeft()) {
      responder->Abort();
      return;
    }
    const calls::CallId call = ++m_last_call;
    CallShard& shard = ShardOf(request.service);
    Caller caller;
    caller.responder = responder;
    caller.service = request.service;
    caller.workspace = request.workspace;
    caller.began = std::chrono::steady_clock::now();
    shard.callers.Add(call, std::move(caller));
    shard.core.Run([&](auto& core, kernel::Time now) {
      core.OnCall(now, call, std::move(request));
    });
    responder->OnGone([&shard, call] {
      if (shard.callers.Take(call)) {
        shard.core.Run([&](auto& core, kernel::Time now) {
          core.OnCallerDisconnected(now, call);
        });
      }
    });
  }

  static void Reply(const Problem& problem, http::Responder& responder) {
    responder.Reply(problem.status, HeadersOf(problem), ToJson(problem));
  }

  void HandleOutput(CallShard& shard, calls::EntryOutput output) {
    std::visit(
        Overloaded{
            [&](const wire::Send& send) { m_node.Send(send); },
            [&](calls::AnswerHead& head) { Begin(shard, std::move(head)); },
            [&](calls::AnswerPart& part) { Write(shard, std::move(part)); },
            [&](const calls::AnswerComplete& complete) {
              Complete(shard, complete);
            },
            [&](const calls::CallFailed& failed) { Fail(shard, failed); }},
        output);
  }

  void Begin(CallShard& shard, calls::AnswerHead head) {
    const std::shared_ptr<Caller> caller = shard.callers.Find(head.call);
    if (!caller) {
      return;
    }
    std::vector<http::Header> headers = ToHttpHeaders(std::move(head.headers));
    caller->answer_started = true;
    caller->event_stream = IsEventStream(headers);
    caller->responder->Begin(static_cast<int>(head.status), std::move(headers));
  }

  void Write(CallShard& shard, calls::AnswerPart part) {
    const std::shared_ptr<Caller> caller = shard.callers.Find(part.call);
    if (!caller) {
      return;
    }
    if (!caller->part_seen) {
      caller->part_seen = true;
      Observe("radishrudder_first_part_seconds", *caller);
    }
    caller->responder->Write(std::move(part.data));
  }

  void Complete(CallShard& shard, const calls::AnswerComplete& complete) {
    const std::shared_ptr<Caller> caller = shard.callers.Take(complete.call);
    if (!caller) {
      return;
    }
    Observe("radishrudder_call_seconds", *caller);
    caller->responder->Finish();
  }

  void Fail(CallShard& shard, const calls::CallFailed& failed) {
    const std::shared_ptr<Caller> caller = shard.callers.Take(failed.call);
    if (!caller) {
      return;
    }
    const Problem problem = Describe(failed);
    m_node.Meters().Count("radishrudder_calls_failed_total",
                          {{"service", caller->service},
                           {"workspace", caller->workspace},
                           {"reason", problem.reason}});
    logging::Log(failed.outcome == wire::OUTCOME_NOT_RUN ? logging::kCallRefused
                                                         : logging::kCallFailed,
                 {{"service", caller->service},
                  {"workspace", caller->workspace},
                  {"reason", problem.reason},
                  {"detail", problem.detail}});
    if (!caller->answer_started) {
      Reply(problem, *caller->responder);
      return;
    }
    if (caller->event_stream) {
      caller->responder->Write("event: error\ndata: " + ToJson(problem) +
                               "\n\n");
    }
    caller->responder->Abort();
  }

  void Observe(std::string_view name, const Caller& caller) {
    m_node.Meters().Observe(
        name, {{"service", caller.service}, {"workspace", caller.workspace}},
        Seconds(std::chrono::steady_clock::now() - caller.began));
  }

  nlohmann::json Status() const {
    nlohmann::json status;
    status["instance"] = m_node.Self().instance;
    status["incarnation"] = std::to_string(m_node.Self().incarnation);
    status["data_centre"] = m_settings.node.data_centre;
    status["documents"] = nlohmann::json::array();
    {
      const std::lock_guard lock(m_revisions_mutex);
      for (const auto& [service, revision] : m_revisions) {
        status["documents"].push_back(
            {{"service", service}, {"revision", revision}});
      }
    }
    status["endpoints"] = nlohmann::json::array();
    for (const membership::Member& member : m_node.Members()) {
      if (member.listed.role == membership::Role::kAgent) {
        status["endpoints"].push_back(StatusOf(member));
      }
    }
    status["calls_in_progress"] = Sum(
        [](const calls::EntryCore& core) { return core.CallsInProgress(); });
    status["calls_waiting"] =
        Sum([](const calls::EntryCore& core) { return core.CallsWaiting(); });
    status["draining"] = m_draining.load();
    return status;
  }

  static nlohmann::json StatusOf(const membership::Member& member) {
    constexpr std::string_view kStates[] = {"live", "leaving", "suspected",
                                            "dead"};
    return {{"instance", member.listed.instance},
            {"service", member.listed.service},
            {"data_centre", member.listed.data_centre},
            {"state", kStates[static_cast<std::size_t>(member.state)]},
            {"running_digest", member.running_digest},
            {"ready_revision", member.ready_revision},
            {"running", member.load.running},
            {"waiting", member.load.waiting},
            {"capacity", member.load.capacity}};
  }

  const EntrySettings m_settings;
  const std::shared_ptr<std::atomic<std::uint64_t>> m_sequences =
      std::make_shared<std::atomic<std::uint64_t>>(0);
  Node m_node;
  std::vector<std::unique_ptr<CallShard>> m_shards;
  std::unique_ptr<http::Server> m_server;
  std::atomic<calls::CallId> m_last_call = 0;
  std::atomic<bool> m_draining = false;
  bool m_stopped = false;
  mutable std::mutex m_revisions_mutex;
  std::map<std::string, std::uint64_t> m_revisions;
};

EntryDaemon::EntryDaemon(EntrySettings settings)
    : m_implementation(std::make_unique<Implementation>(std::move(settings))) {}

EntryDaemon::~EntryDaemon() {
  Stop();
}

std::error_code EntryDaemon::Start() {
  return m_implementation->Start();
}

void EntryDaemon::Drain() {
  m_implementation->Drain();
}

bool EntryDaemon::IsIdle() const {
  return m_implementation->CallsInProgress() == 0;
}

std::size_t EntryDaemon::CallsInProgress() const {
  return m_implementation->CallsInProgress();
}

void EntryDaemon::Stop() {
  m_implementation->Stop();
}

}  // namespace radishrudder::daemon
