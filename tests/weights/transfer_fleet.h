#ifndef TESTS_WEIGHTS_TRANSFER_FLEET_H_
#define TESTS_WEIGHTS_TRANSFER_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/weights/transfer.h"

namespace radishrudder::weights {

// Simulates transfers between instances in virtual time, with faults that a
// test enables. Instance "r1-x" is in region "r1". The store is in region "r1".
class TransferFleet {
 public:
  explicit TransferFleet(std::uint64_t seed) : m_random(seed) {}

  // Makes a version available at the origin and the store. Returns its manifest
  // digest.
  std::string Publish(std::string file,
                      const std::string& bytes,
                      std::uint32_t chunk_bytes);
  // Like `Publish`, but with a file digest that does not match the bytes.
  std::string PublishWithWrongFileDigest(std::string file,
                                         const std::string& bytes);
  void Add(const std::string& instance);
  // Sends the list of instances to all of them, or only to `only` if not empty.
  void DistributePeers(const std::string& only = {});
  void SetWantedVersions(const std::string& instance,
                         std::vector<std::string> digests);
  void WantEverywhere(const std::vector<std::string>& digests);
  void Kill(const std::string& instance) { m_dead.insert(instance); }
  void Pause(const std::string& instance, kernel::Duration length);
  // Runs until `done` returns true or `limit` has passed; returns `done()`.
  bool Run(kernel::Duration limit, const std::function<bool()>& done);
  // Runs until every live instance has completed the version or `limit` has
  // passed; returns whether all have.
  bool RunToCompletion(kernel::Duration limit, const std::string& digest);

  Transfer& Core(const std::string& instance) {
    return *m_nodes.at(instance).core;
  }
  std::size_t CompleteCount(const std::string& digest) const;
  // Returns the bytes served by a source divided by the size of the version.
  double Copies(Source source, const std::string& digest) const;
  std::uint64_t Rejections(const std::string& sender) const;
  std::uint64_t Sent(const std::string& from) const;
  kernel::Time Now() const { return m_now; }

  // Rate of the link that all fetches from the origin share; 0: no limit.
  double origin_link_bytes_per_second = 0;
  TransferSettings settings;  // For instances added later.
  // Whether a message is lost.
  std::function<bool(const std::string& from, const std::string& to)> lost =
      [](const auto&, const auto&) { return false; };
  // Whether an instance never sends chunks but responds to other messages.
  std::function<bool(const std::string& from)> withheld = [](const auto&) {
    return false;
  };
  // Whether a chunk from that sender, or "origin", arrives corrupted.
  std::function<bool(const std::string& from)> corrupted = [](const auto&) {
    return false;
  };
  // Whether a fetch succeeds.
  std::function<bool(const std::string& instance, Source source)> served =
      [](const auto&, Source) { return true; };

 private:
  struct Node {
    std::unique_ptr<Transfer> core;
    std::set<std::string> complete;
    kernel::Time paused_until{};
  };
  struct Published {
    Manifest manifest;
    std::string bytes;
  };
  using Action = std::function<void(Transfer&)>;
  struct Event {
    std::string instance;
    Action action;
  };

  void At(kernel::Duration delay, const std::string& instance, Action action);
  void Flush(const std::string& instance);
  void Handle(const std::string& instance, wire::Send output);
  void Handle(const std::string& instance, const FetchManifest& output);
  void Handle(const std::string& instance, const FetchChunk& output);
  void Handle(const std::string& instance, const VersionComplete& output);
  void Handle(const std::string& instance, const ChunkRejected& output);
  std::optional<kernel::Time> NextTime() const;
  void Step(kernel::Time time);

  kernel::Random m_random;
  kernel::Time m_origin_link_free{};
  kernel::Time m_now{std::chrono::hours(1)};
  std::map<std::string, Node> m_nodes;
  std::set<std::string> m_dead;
  std::map<std::string, Published> m_published;
  std::multimap<kernel::Time, Event> m_events;
  std::map<std::string, std::uint64_t> m_rejections;
  std::map<std::string, std::uint64_t> m_sent_chunks;
  std::map<std::pair<Source, std::string>, std::uint64_t> m_served_bytes;
};

}  // namespace radishrudder::weights

#endif  // TESTS_WEIGHTS_TRANSFER_FLEET_H_
