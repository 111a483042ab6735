#include "radishrudder/dissemination/instance_list_relay.h"

#include <algorithm>
#include <utility>

#include "radishrudder/kernel/hash.h"

namespace radishrudder::dissemination {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFanOut = 4;
// A list from a peer is not larger than this.
constexpr int kMaximumInstances = 8192;
// A peer's list counts as no older than this.
constexpr milliseconds kMaximumAge{3600000};
constexpr double kMinimumJitter = 0.75;
constexpr double kJitterRange = 0.5;

std::uint64_t HashOf(const std::vector<RelayedInstance>& instances) {
  std::string text;
  for (const RelayedInstance& instance : instances) {
    text += instance.instance + '\n' + instance.data_centre +
            (instance.leaving ? "\nleaving\n" : "\nlive\n");
  }
  return kernel::StableHash(text);
}

}  // namespace

InstanceListRelay::InstanceListRelay(RelaySettings settings,
                                     kernel::Random random)
    : m_settings(std::move(settings)), m_random(random) {}

bool InstanceListRelay::IsReader() const {
  return m_position < m_settings.readers;
}

std::string InstanceListRelay::RegionOf(const std::string& data_centre) const {
  const auto found = m_settings.regions.find(data_centre);
  return found == m_settings.regions.end() ? data_centre : found->second;
}

kernel::Duration InstanceListRelay::Jitter(kernel::Duration duration) {
  return std::chrono::duration_cast<kernel::Duration>(
      duration * (kMinimumJitter + kJitterRange * m_random.Uniform()));
}

void InstanceListRelay::UpdateOrder() {
  const std::string& self = m_settings.self.instance;
  std::vector<std::string> live;
  std::vector<std::string> leaving;
  bool self_listed = false;
  for (const RelayedInstance& instance : m_instances) {
    if (RegionOf(instance.data_centre) == m_settings.region) {
      (instance.leaving ? leaving : live).push_back(instance.instance);
      self_listed = self_listed || instance.instance == self;
    }
  }
  if (!self_listed) {
    live.push_back(self);
  }
  m_order.clear();
  for (const std::size_t index :
       kernel::RendezvousOrder("instance-list", live)) {
    m_order.push_back(live[index]);
  }
  m_order.insert(m_order.end(), leaving.begin(), leaving.end());
  m_position = static_cast<std::size_t>(std::ranges::find(m_order, self) -
                                        m_order.begin());
}

void InstanceListRelay::Adopt(kernel::Time read_at,
                              std::vector<RelayedInstance> instances) {
  std::sort(instances.begin(), instances.end());
  m_read_at = read_at;
  m_instances = std::move(instances);
  m_hash = HashOf(m_instances);
  UpdateOrder();
  m_outputs.emplace_back(InstanceListChanged{});
}

void InstanceListRelay::OnListRead(
    kernel::Time now,
    kernel::Time requested_at,
    std::optional<std::vector<RelayedInstance>> instances) {
  m_read_in_progress = false;
  if (!instances) {
    m_next_step = now + Jitter(m_settings.retry_interval);
    return;
  }
  m_questions = 0;
  if (!m_read_at || requested_at > *m_read_at) {
    std::sort(instances->begin(), instances->end());
    if (m_read_at && *instances == m_instances) {
      m_read_at = requested_at;
    } else {
      Adopt(requested_at, std::move(*instances));
      Forward(now);
    }
  }
  m_next_step = now + Jitter(IsReader() ? m_settings.read_interval
                                        : m_settings.maximum_age);
}

void InstanceListRelay::Forward(kernel::Time now) {
  const std::size_t first = kFanOut * m_position + 1;
  for (std::size_t i = first; i < std::min(first + kFanOut, m_order.size());
       ++i) {
    SendList(now, m_order[i], /*unchanged=*/false);
  }
}

void InstanceListRelay::SendList(kernel::Time now,
                                 const std::string& to,
                                 bool unchanged) {
  wire::Send send;
  send.to = to;
  *send.message.mutable_from() = wire::ToMessage(m_settings.self);
  wire::InstanceList& list = *send.message.mutable_instance_list();
  list.set_service(m_settings.service);
  list.set_hash(m_hash);
  list.set_age_milliseconds(static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(
          std::clamp<kernel::Duration>(now - *m_read_at,
                                       kernel::Duration::zero(), kMaximumAge))
          .count()));
  list.set_unchanged(unchanged);
  if (!unchanged) {
    for (const RelayedInstance& instance : m_instances) {
      wire::ListedInstance& listed = *list.add_instances();
      listed.set_instance(instance.instance);
      listed.set_data_centre(instance.data_centre);
      listed.set_leaving(instance.leaving);
    }
  }
  m_outputs.emplace_back(std::move(send));
}

bool InstanceListRelay::OnMessage(kernel::Time now,
                                  const wire::Envelope& message) {
  if (message.has_instance_list_request()) {
    const wire::InstanceListRequest& request = message.instance_list_request();
    if (m_read_at && request.service() == m_settings.service) {
      SendList(now, message.from().instance(),
               request.known_hash() != 0 && request.known_hash() == m_hash);
    }
    return true;
  }
  if (!message.has_instance_list()) {
    return false;
  }
  const wire::InstanceList& list = message.instance_list();
  if (list.service() != m_settings.service ||
      list.instances_size() > kMaximumInstances) {
    return true;
  }
  const kernel::Time read_at = now - milliseconds(list.age_milliseconds());
  const bool is_useful = m_read_at ? read_at > *m_read_at : !list.unchanged();
  if (!is_useful) {
    return true;
  }
  if (!m_read_at || (!list.unchanged() && list.hash() != m_hash)) {
    std::vector<RelayedInstance> instances;
    for (const wire::ListedInstance& listed : list.instances()) {
      instances.push_back(
          {listed.instance(), listed.data_centre(), listed.leaving()});
    }
    Adopt(read_at, std::move(instances));
    Forward(now);
  } else if (list.hash() == m_hash) {
    m_read_at = read_at;
  }
  m_questions = 0;
  if (!m_read_in_progress && !IsReader()) {
    m_next_step = *m_read_at + Jitter(m_settings.maximum_age);
  }
  return true;
}

void InstanceListRelay::Read(kernel::Time now) {
  m_read_in_progress = true;
  m_next_step = kernel::Time::max();
  m_outputs.emplace_back(ReadInstanceList{});
}

void InstanceListRelay::Ask(kernel::Time now) {
  // The readers come first; after that, any instance of the region.
  const std::size_t readers = std::min(m_settings.readers, m_order.size());
  const std::string& to = m_questions < readers
                              ? m_order[m_questions]
                              : m_order[m_random.Below(m_order.size())];
  ++m_questions;
  m_next_step = now + Jitter(m_settings.answer_timeout);
  if (to == m_settings.self.instance) {
    return;
  }
  wire::Send send;
  send.to = to;
  *send.message.mutable_from() = wire::ToMessage(m_settings.self);
  wire::InstanceListRequest& request =
      *send.message.mutable_instance_list_request();
  request.set_service(m_settings.service);
  request.set_known_hash(m_hash);
  m_outputs.emplace_back(std::move(send));
}

void InstanceListRelay::OnTick(kernel::Time now) {
  if (m_read_in_progress || now < m_next_step) {
    return;
  }
  if (!m_read_at || IsReader() || m_questions >= m_settings.maximum_questions) {
    Read(now);
  } else {
    Ask(now);
  }
}

std::vector<RelayOutput> InstanceListRelay::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

}  // namespace radishrudder::dissemination
