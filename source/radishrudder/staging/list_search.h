#ifndef SOURCE_RADISHRUDDER_STAGING_LIST_SEARCH_H_
#define SOURCE_RADISHRUDDER_STAGING_LIST_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishrudder/kernel/random.h"
#include "radishrudder/kernel/time.h"
#include "radishrudder/weights/transfer.h"

namespace radishrudder::staging {

// Decides from whom an instance obtains the piece list of a version, and to
// whom it passes the list on. All instances need the list at the same time, and
// the origin serves only a few of them at once:
//
// - The instances have an order that each computes from the version's name. The
//   first few ask the origin; they pass the list to the first instance of each
//   region, from where it goes down a tree within the region.
// - An instance that has not received the list asks other instances, mostly of
//   its region. Who is asked too early answers once it has the list.
// - Every other instance has a turn to ask the origin, in case no instance
//   answers. The turns are far enough apart for the origin.
//
// State machine without sockets, threads or clocks.
class ListSearch {
 public:
  struct AskOrigin {};
  struct AskInstance {
    std::string instance{};
  };
  using Step = std::variant<AskOrigin, AskInstance>;

  ListSearch(std::string instance, std::string region, kernel::Random random)
      : m_instance(std::move(instance)),
        m_region(std::move(region)),
        m_random(random) {}

  // Sets the instances of the service. Those that are not alive are left out;
  // this instance may be missing.
  void OnPeers(kernel::Time now, std::span<const weights::TransferPeer> peers);
  // Starts the search for the list of `file`. `newly_declared`: the other
  // instances start at the same time. Otherwise they probably have the list.
  void Start(kernel::Time now, std::string_view file, bool newly_declared);
  // Starts the search again after the list turned out to be wrong: other
  // instances may have the same one, so only the origin is asked.
  void RestartAtOrigin(kernel::Time now);
  // The list was obtained.
  void Finish() { m_active = false; }
  // The origin did not deliver the list.
  void OnOriginFailed(kernel::Time now);
  // Returns the steps that are due. An answer of the origin is awaited until
  // `OnOriginFailed` or `Finish`.
  std::vector<Step> Advance(kernel::Time now);

  // Returns the instances to which the list of `file` is passed on. The file
  // need not be the one that is searched for.
  std::vector<std::string> Receivers(std::string_view file,
                                     bool from_origin) const;
  // Position of this instance in the order of all instances.
  std::size_t Rank() const { return m_rank; }
  std::size_t InstanceCount() const { return m_order.size(); }
  // Registers an instance that asked for the list before it arrived.
  void AddWaiting(std::string_view instance);
  // Removes and returns the registered instances.
  std::set<std::string> TakeWaiting();

 private:
  std::vector<weights::TransferPeer> OrderFor(std::string_view file) const;
  void UpdateOrder();
  kernel::Duration OriginDelay() const;
  kernel::Duration Jitter(kernel::Duration duration);
  std::optional<std::string> ChooseInstance();

  std::string m_instance;
  std::string m_region;
  kernel::Random m_random;
  std::vector<weights::TransferPeer> m_peers;  // Alive, without this instance.
  bool m_peers_known = false;

  std::string m_file;
  bool m_active = false;
  bool m_newly_declared = false;
  bool m_origin_only = false;
  bool m_origin_asked = false;  // An answer is awaited.
  std::uint32_t m_origin_failures = 0;
  // The origin may be asked then even if no other instance is known.
  kernel::Time m_peers_deadline{};
  kernel::Time m_next_origin{};
  kernel::Time m_next_instance{};
  std::uint32_t m_instances_asked = 0;
  std::set<std::string> m_waiting;

  // Order of all instances for `m_file`, and the index of this one in it.
  std::vector<weights::TransferPeer> m_order;
  std::size_t m_rank = 0;
};

}  // namespace radishrudder::staging

#endif  // SOURCE_RADISHRUDDER_STAGING_LIST_SEARCH_H_
