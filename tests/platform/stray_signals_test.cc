// Tests that signals that do not ask for a stop end no server of this project.
#include <gtest/gtest.h>
#include <signal.h>

#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>

#include "tests/platform/running_program.h"

namespace radishrudder::platform {
namespace {

using std::chrono::milliseconds;

// A loaded machine may delay a process by seconds.
constexpr milliseconds kLimit{10000};
constexpr char kUnusedUrl[] = "http://127.0.0.1:9";

struct ServerCase {
  const char* name;
  // Text in the log from which on the process is serving.
  const char* started;
};

constexpr ServerCase kServers[] = {
    {"platform-entry", " process-started "},
    {"platform-agent", " process-started "},
    {"entry", "listening "},
    {"agent", "listening "},
    {"standin", "listening "},
};

struct SignalCase {
  const char* name;
  int number;
};

void PrintTo(const ServerCase& server, std::ostream* out) {
  *out << server.name;
}
void PrintTo(const SignalCase& signal, std::ostream* out) {
  *out << signal.name;
}

constexpr SignalCase kSignals[] = {
    {"Hup", SIGHUP},        {"Pipe", SIGPIPE},  {"User1", SIGUSR1},
    {"User2", SIGUSR2},     {"Alarm", SIGALRM}, {"VirtualAlarm", SIGVTALRM},
    {"Profiling", SIGPROF}, {"Io", SIGIO},      {"Power", SIGPWR},
};

std::unique_ptr<RunningProgram> MakeServer(std::string_view name) {
  if (name.starts_with("platform-")) {
    auto program =
        std::make_unique<RunningProgram>(name.substr(name.find('-') + 1));
    program->WriteSettings(program->SettingsText(R"("grace_s": 2)"));
    return program;
  }
  if (name == "standin") {
    return std::make_unique<RunningProgram>(
        "radishrudder-standin",
        std::vector<std::string>{"configuration", "--port=0"});
  }
  std::vector<std::string> arguments = {
      "--instance=n-1",
      "--data-centre=a",
      "--region=a",
      "--drain-limit-milliseconds=1000",
      std::string("--configuration=") + kUnusedUrl,
      std::string("--instances=") + kUnusedUrl,
      "--port=0",
  };
  if (name == "agent") {
    arguments.insert(arguments.end(), {"--service=draft", "--store-region=a"});
    arguments.push_back(std::string("--endpoint=") + kUnusedUrl);
    arguments.push_back(std::string("--origin=") + kUnusedUrl);
  }
  return std::make_unique<RunningProgram>("radishrudder-" + std::string(name),
                                          std::move(arguments));
}

class StraySignalTest
    : public testing::TestWithParam<std::tuple<ServerCase, SignalCase>> {};

// Guards against LOST on adunni-fit: the default action of a signal that says
// nothing of a stop ended the processes, and all calls in progress were cut.
TEST_P(StraySignalTest, ServerSurvivesAndStopsInOrderAmongThem) {
  const auto& [server, signal] = GetParam();
  const std::unique_ptr<RunningProgram> program = MakeServer(server.name);
  program->Start();
  ASSERT_TRUE(program->AwaitLog(server.started, 1, kLimit));
  for (int i = 0; i < 20; ++i) {
    program->Signal(signal.number);
  }
  program->Signal(SIGTERM);
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (program->IsRunning() && std::chrono::steady_clock::now() < end) {
    program->Signal(signal.number);
  }
  EXPECT_EQ(program->AwaitExit(milliseconds(0)), 0);
}

INSTANTIATE_TEST_SUITE_P(Servers,
                         StraySignalTest,
                         testing::Combine(testing::ValuesIn(kServers),
                                          testing::ValuesIn(kSignals)),
                         [](const auto& info) {
                           std::string name = std::get<0>(info.param).name;
                           std::erase(name, '-');
                           return name + std::get<1>(info.param).name;
                         });

}  // namespace
}  // namespace radishrudder::platform
