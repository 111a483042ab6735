// A manifest takes the last tenant, and with it the last keys, away.
#include "../common-3/kit.h"

using namespace kit;

namespace {

constexpr int kRevokeMs = 5000;  // `revoke_ms` of the settings.

std::string Manifest(int version, const std::string& tenants) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-1\",\"host\":\"voka93.example\","
         "\"prefix\":\"/filo73/\",\"kind\":\"non_idempotent\","
         "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,"
         "\"service\":\"shop-api\",\"max_attempts\":2,\"auth_exempt\":false,"
         "\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":"
         "\"shop-api\",\"health_path\":\"/health\",\"max_connections\":96,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":" +
         tenants + "}";
}

std::string Tenant(const std::string& name, const std::string& key) {
  return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key +
         "\"],\"priority\":1}";
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = Begin(argc, argv);
  std::mutex mutex;
  std::map<std::string, std::string> runs;  // Attempt id to tenant.
  Server runner("127.0.0.1", [&](int handle, const Message& request) {
    const std::string id = request.Header("Radishrudder-Attempt-Id");
    if (request.Path() == "/health") {
      return Answer(handle, 200, "", "Radishrudder-Served-By: i-1\r\n");
    }
    const std::string tenant = request.Header("Radishrudder-Tenant");
    {
      const std::lock_guard lock(mutex);
      runs[id] = tenant;
    }
    record.Line("runner i-1 runs %s for tenant '%s'", id.c_str(),
                tenant.c_str());
    return Answer(handle, 200, "booked",
                  "Radishrudder-Attempt-Id: " + id +
                      "\r\nRadishrudder-Response-Signature: 3e1b." + id +
                      "\r\nRadishrudder-Instance-Load: 1,0,6\r\n");
  });
  Store store;
  store.Write("op/config",
              Manifest(3, "[" + Tenant("bozi300", "key-bozi") + "," +
                              Tenant("tamu200", "key-tamu") + "]"));
  const auto list = [&](int sequence) {
    store.Write(
        "servers/i-1",
        "{\"service\":\"shop-api\",\"address\":\"" + runner.Address() +
            "\",\"zone\":\"sask-a\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" +
            std::to_string(sequence) + ",\"born\":1780000000000}");
  };
  list(1);
  std::thread([&] {
    for (int sequence = 2;; ++sequence) {
      Sleep(1200);
      list(sequence);
    }
  }).detach();

  const int ports = FreePorts("127.0.0.1", 20);
  const auto at = [ports](int offset) {
    return "127.0.0.1:" + std::to_string(ports + offset);
  };
  Program entry(options.root, "entry", options.work);
  at_end = [&] { entry.Kill(); };
  entry.WriteSettings(Settings("edge-sask-a-1", "edge", "127.0.0.1", ports,
                               store.Address(), "", {at(2)}));
  entry.Start();
  if (!AwaitReady(at(1), 10000)) {
    Finish(2, "the entry is not ready");
  }

  int last = 0;
  // Returns the status of the answer; 0: none.
  const auto call = [&](const std::string& key, std::string& id) {
    id = "a" + std::to_string(1000 + ++last);
    const int handle = Connect(at(0));
    const std::string request =
        "POST /filo73/de11/2f HTTP/1.1\r\nHost: voka93.example\r\n"
        "Radishrudder-Attempt-Id: " +
        id + "\r\nRadishrudder-Deadline-Ms: 1500\r\nAuthorization: Token " +
        key + "\r\nContent-Length: 4\r\n\r\nbook";
    Message answer;
    std::string buffer;
    int status = 0;
    if (handle >= 0 && SendAll(handle, request) &&
        ReadMessage(handle, buffer, answer, 3000, true)) {
      status = answer.Status();
    }
    close(handle);
    record.Line("client sent %s with key %s, answer %d", id.c_str(),
                key.c_str(), status);
    return status;
  };

  std::string id;
  if (call("key-bozi", id) != 200 || call("key-tamu", id) != 200) {
    Finish(2, "the keys in force are not served");
  }
  if (call("key-none", id) != 401) {
    Finish(2, "an unknown key is not refused");
  }
  // The administrator takes tenants away: first one, then the last.
  store.Write("op/config",
              Manifest(7, "[" + Tenant("bozi300", "key-bozi") + "]"));
  record.Line("manifest 7 acknowledged: tenant tamu200 and its key are gone");
  Sleep(2500);
  std::set<std::string> revoked{"key-tamu"};
  if (options.trouble) {
    store.Write("op/config", Manifest(12, "[]"));
    record.Line("manifest 12 acknowledged: `tenants` is empty, no key is left");
    revoked.insert("key-bozi");
  }
  const auto acknowledged = Clock::now();
  std::this_thread::sleep_until(acknowledged +
                                std::chrono::milliseconds(kRevokeMs + 500));
  int broken = 0;
  for (int i = 0; i < 5; ++i) {
    for (const std::string& key :
         {std::string("key-bozi"), std::string("key-tamu"),
          std::string("key-none")}) {
      const int status = call(key, id);
      const std::lock_guard lock(mutex);
      if (runs.contains(id) && (revoked.contains(key) || key == "key-none")) {
        ++broken;
        record.Line(
            "BROKEN: %s ran with key %s, which no manifest in force "
            "holds (status %d)",
            id.c_str(), key.c_str(), status);
      }
    }
    Sleep(200);
  }
  if (broken > 0) {
    Finish(1, std::to_string(broken) +
                  " requests ran with keys that were taken away or never held");
  }
  Finish(0, "no request ran with a key that was taken away");
}
