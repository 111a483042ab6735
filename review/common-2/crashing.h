// A service of plain or streaming runners that crash on certain requests and
// are back some seconds later, before several entries.
#ifndef REVIEW_COMMON_2_CRASHING_H_
#define REVIEW_COMMON_2_CRASHING_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drill.h"

namespace review {

// An arrival of a request that crashes runners, or the crash of a runner.
struct CrashEvent {
  std::string id{};
  std::string runner{};
  double at = 0;
};

struct CrashingSettings {
  std::string subnet{};  // First two numbers of the addresses.
  int entries = 4;
  int runners = 8;
  std::string service{};
  std::string manifest{};
  // Whether a request crashes the runner that begins to run it, at a runner
  // with this software.
  std::function<bool(const RunnerRequest&, const std::string&)> crashes{};
  // Answers another request.
  Runner::Behaviour answer{};
};

class CrashingService {
 public:
  CrashingService(DrillSettings drill, CrashingSettings settings)
      : m_drill(std::move(drill)), m_settings(std::move(settings)) {}

  // Returns whether all entries are ready.
  bool Start() {
    std::vector<std::string> ips{StoreIp()};
    for (int i = 0; i < m_settings.entries; ++i) {
      ips.push_back(EntryIp(i));
    }
    for (int i = 0; i < 2 * m_settings.runners; ++i) {
      ips.push_back(RunnerIp(i));
    }
    m_port = FindFreePorts(ips, kPortCount);
    m_store = std::make_unique<Store>(StoreIp(), m_port + kStorePort);
    m_store->Put("op/config", m_settings.manifest);
    for (int i = 0; i < m_settings.runners; ++i) {
      Boot(i, "v1");
    }
    std::vector<std::string> seeds;
    for (int i = 0; i < std::min(m_settings.entries, 3); ++i) {
      seeds.push_back(EntryIp(i) + ":" + std::to_string(m_port + kControlPort));
    }
    for (int i = 0; i < m_settings.entries; ++i) {
      m_entries.push_back(std::make_unique<Program>(
          "target/bin/radishrudder-platform-entry", m_drill.temporary,
          SettingsInput{
              .machine = {"edge-" + ZoneOf(i) + "-" + std::to_string(i),
                          ZoneOf(i), EntryIp(i)},
              .first_port = m_port,
              .store = m_store->Address(),
              .seeds = seeds}));
      m_entries.back()->Start();
    }
    return std::ranges::all_of(m_entries, [this](const auto& entry) {
      return AwaitReady(*entry, m_port);
    });
  }

  void EndPrograms() { m_entries.clear(); }

  int Entries() const { return m_settings.entries; }
  // Sends a request to an entry.
  ClientAnswer Send(int entry, const ClientRequest& request) const {
    ClientAnswer answer = Call(EntryIp(entry), m_port, request);
    Note("answered " + request.id + " " + request.target + " edge " +
         std::to_string(entry) + " status " + std::to_string(answer.status) +
         (answer.complete ? "" : " not complete"));
    return answer;
  }

  // Replaces all runners by new ones with other software: these start first,
  // then the old ones drain and end.
  void ReleaseSoftware(const std::string& software) {
    for (int i = 0; i < m_settings.runners; ++i) {
      Boot(i + m_settings.runners, software);
    }
    Say("runners with software " + software + " have started");
    Sleep(1);
    for (int i = 0; i < m_settings.runners; ++i) {
      Current(i)->Drain();
    }
    Sleep(4);
    for (int i = 0; i < m_settings.runners; ++i) {
      Current(i)->RemoveEntry();
      Current(i)->Crash();
    }
    Say("the runners before them have drained and ended");
  }

  std::vector<CrashEvent> Arrivals() {
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
  }
  std::vector<CrashEvent> Crashes() {
    const std::lock_guard lock(m_mutex);
    return m_crashes;
  }

 private:
  // A process needs some time to end and to start again.
  static constexpr double kBackAfter = 2.5;
  // From the begin of the request to the crash.
  static constexpr double kCrashAfter = 0.03;

  std::string StoreIp() const { return m_settings.subnet + ".0.100"; }
  std::string EntryIp(int index) const {
    return m_settings.subnet + ".1." + std::to_string(1 + index);
  }
  std::string RunnerIp(int index) const {
    return m_settings.subnet + ".2." + std::to_string(1 + index);
  }
  static std::string ZoneOf(int index) {
    constexpr std::array<const char*, 3> kZones{"sask-a", "mb-a", "ab-a"};
    return kZones[static_cast<std::size_t>(index) % kZones.size()];
  }

  Runner* Current(int index) {
    const std::lock_guard lock(m_mutex);
    return m_current.at(index);
  }

  // Each start is a new boot with a new id.
  void Boot(int index, const std::string& software) {
    auto runner = std::make_unique<Runner>(
        *m_store, "i-" + RandomHex(8), m_settings.service, ZoneOf(index),
        RunnerIp(index), m_port + kRunnerPort,
        [this, index, software](const auto& request, auto& channel,
                                auto& boot) {
          Serve(request, channel, boot, index, software);
        });
    runner->SetSoftware(software);
    runner->SetSlots(8);
    runner->WriteEntry();
    const std::lock_guard lock(m_mutex);
    m_current[index] = runner.get();
    m_boots.push_back(std::move(runner));
  }

  void Serve(const RunnerRequest& request,
             Channel& channel,
             Runner& boot,
             int index,
             const std::string& software) {
    if (request.target == "/health") {
      Runner::Answer(request, channel, 200, "");
    } else if (m_settings.crashes(request, software)) {
      {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({request.id, boot.Id(), Now()});
      }
      Note("run      " + request.id + " " + boot.Id() +
           " (it crashes the runner)");
      Sleep(kCrashAfter);
      Crash(request, boot, index, software);
    } else {
      m_settings.answer(request, channel, boot);
    }
  }

  void Crash(const RunnerRequest& request,
             Runner& boot,
             int index,
             const std::string& software) {
    {
      const std::lock_guard lock(m_mutex);
      if (boot.HasEnded()) {
        return;
      }
      m_crashes.push_back({request.id, boot.Id(), Now()});
    }
    Note("crash    " + boot.Id());
    boot.Crash();
    std::thread([this, &boot, index, software] {
      Sleep(kBackAfter);
      boot.RemoveEntry();
      Boot(index, software);
    }).detach();
  }

  DrillSettings m_drill;
  CrashingSettings m_settings;
  int m_port = 0;
  std::unique_ptr<Store> m_store;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Runner>> m_boots;
  std::map<int, Runner*> m_current;
  std::vector<std::unique_ptr<Program>> m_entries;
  std::vector<CrashEvent> m_arrivals;
  std::vector<CrashEvent> m_crashes;
};

// Returns the arrivals that a machine sent on later than `seconds` after the
// crash with this number, counted from 1. Forwarding takes no time worth
// counting here.
inline int CountAfterCrash(CrashingService& service,
                           std::size_t number,
                           double seconds) {
  const std::vector<CrashEvent> crashes = service.Crashes();
  if (crashes.size() < number) {
    return 0;
  }
  const double from = crashes[number - 1].at + seconds;
  const std::vector<CrashEvent> arrivals = service.Arrivals();
  return static_cast<int>(std::ranges::count_if(
      arrivals, [from](const CrashEvent& item) { return item.at > from; }));
}

}  // namespace review

#endif  // REVIEW_COMMON_2_CRASHING_H_
