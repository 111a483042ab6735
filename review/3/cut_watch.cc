// Case 3: a runner's entry is removed between two cut watches. See claim.txt.
#include <array>

#include "../common/standin.h"

namespace {

using namespace review;

constexpr int kRunners = 3;
constexpr int kLeaving = 0;  // The runner that leaves.
constexpr double kHeartbeat = 1.2;
constexpr double kStagger = 0.05;     // Between the heartbeats of two runners.
constexpr double kRemoveAt = 6.0;     // After the entry is ready.
constexpr double kDrain = 2.0;        // `drain_ms`.
constexpr double kServesAfter = 2.6;  // `drain_ms` and a little longer.
constexpr double kFirstCut = -0.3;    // Relative to the removal.
constexpr double kSecondCut = 0.6;    // The same, at the earliest.
constexpr double kEnd = 14.0;

std::string RunnerId(int i) {
  return "i-5f00" + std::to_string(i);
}

Json Manifest() {
  const auto route = [](const char* name, const char* prefix,
                        const char* kind) -> Json {
    return {{"name", name},      {"host", "jepu9.example"},
            {"prefix", prefix},  {"service", "shop-api"},
            {"kind", kind},      {"max_attempts", 2},
            {"timeout_ms", 800}, {"target_latency_ms", 300},
            {"priority", 2}};
  };
  return {{"version", 3},
          {"routes",
           {route("deposit", "/filo73/", "non_idempotent"),
            route("fetch", "/lepu27/", "idempotent")}},
          {"services", {{{"name", "shop-api"}, {"max_connections", 96}}}},
          {"tenants", {{{"name", "bozi300"}, {"api_keys", {"key-of-bozi"}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

}  // namespace

int main(int argc, char** argv) {
  const Place place = ReadPlace(argc, argv);
  Record record(place.output + "/record.txt");
  record.Line("trouble %s", place.trouble ? "yes" : "no");
  const std::vector<int> ports = FreePorts(1 + kRunners);
  Store store(ports[0], /*era=*/1);

  std::mutex mutex;
  std::vector<double> arrivals;  // Requests that reached the leaving runner.
  std::atomic<bool> exited = false;
  std::vector<std::unique_ptr<Server>> runners;
  for (int i = 0; i < kRunners; ++i) {
    runners.push_back(std::make_unique<Server>(
        ports[1 + static_cast<std::size_t>(i)],
        [&, i](Channel& channel, const Message& request) {
          const double at = Now();
          const std::string id = request.Header("Radishrudder-Attempt-Id");
          record.Line("reaches %s: %s %s", RunnerId(i).c_str(),
                      request.method.c_str(), id.c_str());
          const std::string headers =
              "Radishrudder-Attempt-Id: " + id +
              "\r\nRadishrudder-Served-By: " + RunnerId(i) + "\r\n";
          if (request.Header("Radishrudder-Expect-Instance") != RunnerId(i)) {
            return channel.Write(Answer(421, headers, ""));
          }
          if (i == kLeaving) {
            const std::lock_guard lock(mutex);
            arrivals.push_back(at);
          }
          Sleep(0.06);
          if (i == kLeaving && exited) {
            channel.SetReset();
            return false;
          }
          return channel.Write(Answer(
              200, headers + "Radishrudder-Response-Signature: 3e1b.07\r\n",
              "answer to " + id));
        }));
  }

  std::atomic<bool> end = false;
  std::atomic<bool> removed = false;
  std::mutex beats;
  std::array<int, kRunners> sequence{};
  const auto born = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  const auto beat = [&](int i) {
    const Json entry{
        {"service", "shop-api"},
        {"address",
         "127.0.0.1:" + std::to_string(ports[1 + static_cast<std::size_t>(i)])},
        {"zone", "sask-a"},
        {"version", 1},
        {"slots", 6},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"born", born},
        {"sequence", ++sequence[static_cast<std::size_t>(i)]}};
    store.Put("servers/" + RunnerId(i), entry.dump());
  };
  store.Put("op/config", Manifest().dump());
  for (int i = 0; i < kRunners; ++i) {
    beat(i);
  }
  std::thread heartbeats([&] {
    for (double next = Now() + kHeartbeat; !end; next += kHeartbeat) {
      for (int i = 0; i < kRunners; ++i) {
        SleepUntil(next + kStagger * i);
        const std::lock_guard lock(beats);
        if (i != kLeaving || !removed) {
          beat(i);
        }
      }
    }
  });

  Entry entry(place.root, place.work, "edge-1", ports[0]);
  const auto stop = [&](int code) {
    record.Line("exit code %d", code);
    entry.Kill();
    fflush(stdout);
    std::_Exit(code);
  };
  entry.Start({entry.ControlAddress()});
  if (!entry.AwaitReady(20)) {
    record.Line("the entry did not become ready");
    stop(kCouldNotRun);
  }
  const double begin = Now();

  std::map<int, int> statuses;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      std::shared_ptr<Channel> channel;
      for (int i = 0; !end; ++i) {
        Sleep(0.05);
        const bool deposit = caller % 2 == 0;
        const std::string id =
            "c" + std::to_string(caller) + "-" + std::to_string(i);
        if (!channel) {
          channel = Connect(entry.Front());
        }
        if (!channel) {
          continue;
        }
        const double at = Now();
        channel->Write(Concat(
            {deposit ? "POST /filo73/" : "GET /lepu27/", id,
             " HTTP/1.1\r\nHost: jepu9.example\r\nRadishrudder-Attempt-Id: ",
             id, "\r\nRadishrudder-Deadline-Ms: 1500\r\n",
             "Authorization: Token key-of-bozi\r\n",
             deposit ? "Content-Length: 4\r\n\r\nbody" : "\r\n"}));
        const auto answer = channel->Read();
        const int status = answer ? answer->status : 0;
        record.Line("sent %s at %.3f: answer %d", id.c_str(), at, status);
        {
          const std::lock_guard lock(mutex);
          ++statuses[status];
        }
        if (!answer || Lower(answer->Header("Connection")) == "close") {
          channel = nullptr;
        }
      }
    });
  }

  // Cuts one watch of the list of runners, as soon as one is waiting.
  const auto cut = [&] {
    const double limit = Now() + 2.0;
    while (Now() < limit) {
      if (store.CutWatches("servers/") > 0) {
        record.Line("the store cuts a waiting watch of servers/");
        return;
      }
      Sleep(0.002);
    }
    record.Line("no watch was waiting");
  };
  SleepUntil(begin + kRemoveAt + kFirstCut);
  if (place.trouble) {
    cut();
  }
  SleepUntil(std::max(begin + kRemoveAt, Now() - kFirstCut));
  double acknowledged = 0;
  {
    const std::lock_guard lock(beats);
    removed = true;
    store.Remove("servers/" + RunnerId(kLeaving));
    acknowledged = Now();
  }
  record.Line("the entry of %s is removed: acknowledged",
              RunnerId(kLeaving).c_str());
  SleepUntil(acknowledged + kSecondCut);
  if (place.trouble) {
    cut();
  }
  SleepUntil(acknowledged + kServesAfter);
  exited = true;
  record.Line("%s exits", RunnerId(kLeaving).c_str());
  runners[kLeaving]->Away();
  SleepUntil(begin + kEnd);
  end = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  heartbeats.join();

  int before = 0;
  int late = 0;
  double last = 0;
  {
    const std::lock_guard lock(mutex);
    for (const double at : arrivals) {
      before += at < acknowledged ? 1 : 0;
      late += at > acknowledged + kDrain ? 1 : 0;
      last = std::max(last, at - acknowledged);
    }
  }
  for (const auto& [status, count] : statuses) {
    record.Line("answers %d: %d", status, count);
  }
  record.Line(
      "requests that reached %s: %d before the ack, %d later than "
      "%.1f s after it; the last one %.3f s after it",
      RunnerId(kLeaving).c_str(), before, late, kDrain, last);
  printf("late %d, last %.3f s after the ack\n", late, last);
  if (!entry.IsRunning() || before < 20) {
    stop(kCouldNotRun);
  }
  stop(late > 0 ? kBroken : kHeld);
}
