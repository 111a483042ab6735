#include "radishrudder/peers/peer_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishrudder::peers {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaximumPeers = 64;
// Number of declarations that are remembered and reported.
constexpr std::size_t kMaximumDeclarations = 16;
// Consecutive failures after which a peer that is no seed is forgotten.
constexpr std::uint32_t kMaximumFailures = 3;
// Share of the known peers that must have lost the store for it to count as
// lost for all.
constexpr double kOutageQuorum = 0.5;

milliseconds AgeAt(kernel::Time now, kernel::Time time) {
  return std::max(std::chrono::duration_cast<milliseconds>(now - time),
                  milliseconds(0));
}

}  // namespace

PeerExchange::PeerExchange(PeerSettings settings, kernel::Random random)
    : m_settings(std::move(settings)), m_random(random) {
  OnSeeds(m_settings.seeds);
}

void PeerExchange::OnSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& seed : seeds) {
    Learn(seed, /*seed=*/true);
  }
}

void PeerExchange::Learn(std::string_view address, bool seed) {
  if (address.empty() || address == m_settings.address ||
      m_peers.contains(address) || m_peers.size() >= kMaximumPeers) {
    return;
  }
  m_peers.emplace(std::string(address), Peer{.seed = seed});
}

void PeerExchange::OnStoreRead(kernel::Time complete_at) {
  m_store_complete_at = complete_at;
  m_store_lost_at.reset();
}

void PeerExchange::OnStoreLost(kernel::Time now) {
  m_store_lost_at = now;
}

void PeerExchange::OnDeclarationRead(kernel::Time now,
                                     std::string_view model,
                                     std::uint64_t version,
                                     std::optional<kernel::Time> absent_at,
                                     kernel::Duration failed_for) {
  std::uint64_t previous_version = 0;
  for (const Declaration& known : m_declarations) {
    if (known.model == model) {
      previous_version = std::max(previous_version, known.version);
    }
  }
  m_declarations.push_back({std::string(model), version, now, absent_at,
                            failed_for >= m_settings.loss_threshold,
                            previous_version});
  if (m_declarations.size() > kMaximumDeclarations) {
    m_declarations.erase(m_declarations.begin());
  }
  const bool read_late =
      !absent_at || now - *absent_at > m_settings.contact_threshold;
  if (!read_late && now - *absent_at <= m_settings.close_bound) {
    return;
  }
  m_questions.push_back({.declaration = m_declarations.back(),
                         .next_round = now,
                         .read_late = read_late});
  if (!read_late) {
    ContactRandomPeers(m_settings.close_bound_fan_out);
  }
  OnTick(now);
}

void PeerExchange::OnTick(kernel::Time now) {
  std::erase_if(m_questions, [this, now](Question& question) {
    if (!IsDecided(now, question)) {
      return false;
    }
    Decide(question);
    return true;
  });
  for (Question& question : m_questions) {
    if (!question.read_late || now < question.next_round) {
      continue;
    }
    question.next_round = now + m_settings.question_interval;
    for (auto& [address, peer] : m_peers) {
      if (!question.answers.contains(address)) {
        Contact(address, peer);
      }
    }
  }
  PassOnNews(now);
  if (now >= m_next_acquaintance && !m_peers.empty()) {
    m_next_acquaintance = now + m_settings.acquaintance_interval;
    const auto peer =
        std::next(m_peers.begin(),
                  static_cast<std::ptrdiff_t>(m_random.Below(m_peers.size())));
    Contact(peer->first, peer->second);
  }
}

void PeerExchange::PassOnNews(kernel::Time now) {
  if (m_news_rounds == 0 || now < m_next_news || m_peers.empty()) {
    return;
  }
  --m_news_rounds;
  m_next_news = now + m_settings.news_interval;
  ContactRandomPeers(m_settings.news_fan_out);
}

void PeerExchange::ContactRandomPeers(std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::string>> order;
  for (const auto& [address, peer] : m_peers) {
    order.emplace_back(m_random.Next(), address);
  }
  std::ranges::sort(order);
  order.resize(std::min(order.size(), count));
  for (const auto& [rank, address] : order) {
    Contact(address, m_peers.find(address)->second);
  }
}

void PeerExchange::Contact(const std::string& address, Peer& peer) {
  if (!peer.in_progress) {
    peer.in_progress = true;
    m_outputs.emplace_back(ExchangeReports{address});
  }
}

PeerReport PeerExchange::MakeReport(kernel::Time now) const {
  PeerReport report{.address = m_settings.address};
  for (const auto& [address, peer] : m_peers) {
    if (peer.failures == 0) {
      report.peers.push_back(address);
    }
  }
  if (m_store_complete_at) {
    report.store_age = AgeAt(now, *m_store_complete_at);
  }
  report.store_lost =
      m_store_lost_at && now - *m_store_lost_at >= m_settings.loss_threshold;
  for (const Declaration& declaration : m_declarations) {
    DeclarationReport item{.model = declaration.model,
                           .version = declaration.version,
                           .read_age = AgeAt(now, declaration.read_at),
                           .store_lost = declaration.store_lost};
    if (declaration.absent_at) {
      item.absent_age = AgeAt(now, *declaration.absent_at);
    }
    report.declarations.push_back(std::move(item));
  }
  return report;
}

void PeerExchange::OnRequest(const PeerReport& report) {
  Learn(report.address, /*seed=*/false);
}

void PeerExchange::OnResponse(kernel::Time now,
                              kernel::Time sent_at,
                              std::string_view address,
                              const std::optional<PeerReport>& report) {
  const auto found = m_peers.find(address);
  if (found == m_peers.end()) {
    return;
  }
  found->second.in_progress = false;
  if (!report) {
    if (++found->second.failures >= kMaximumFailures && !found->second.seed) {
      m_peers.erase(found);
    }
    return;
  }
  found->second.failures = 0;
  for (const std::string& other : report->peers) {
    Learn(other, /*seed=*/false);
  }
  for (Question& question : m_questions) {
    if (sent_at < question.declaration.read_at) {
      continue;
    }
    const Evidence evidence =
        EvidenceOf(sent_at, question.declaration, *report);
    question.answers.insert_or_assign(std::string(address), evidence);
    if (evidence.absent_at) {
      RaiseBound(question, *evidence.absent_at, /*after_outage=*/false);
    }
  }
  OnTick(now);
}

// The peer computed its ages between the sending of the request and the arrival
// of its response; counted from the former, they are not underestimated.
PeerExchange::Evidence PeerExchange::EvidenceOf(
    kernel::Time sent_at,
    const Declaration& declaration,
    const PeerReport& report) const {
  // Calls may run on any older version, so the bound is that of the first
  // version which this process had not known, if there were several.
  const DeclarationReport* first = nullptr;
  for (const DeclarationReport& known : report.declarations) {
    if (known.model == declaration.model &&
        known.version > declaration.previous_version &&
        (first == nullptr || known.version < first->version)) {
      first = &known;
    }
  }
  Evidence evidence;
  if (first == nullptr) {
    if (report.store_age) {
      evidence.absent_at = sent_at - *report.store_age;
      evidence.in_contact = InContact(*report.store_age, report.store_lost);
    }
    return evidence;
  }
  evidence.read_at = sent_at - first->read_age;
  if (first->absent_age) {
    evidence.absent_at = sent_at - *first->absent_age;
    evidence.in_contact =
        InContact(*first->absent_age - first->read_age, first->store_lost);
  }
  return evidence;
}

std::optional<bool> PeerExchange::InContact(milliseconds gap,
                                            bool store_lost) const {
  if (gap <= m_settings.contact_threshold) {
    return true;
  }
  return store_lost ? std::optional(false) : std::nullopt;
}

void PeerExchange::RaiseBound(Question& question,
                              kernel::Time absent_at,
                              bool after_outage) {
  std::optional<kernel::Time>& known = question.declaration.absent_at;
  if (known && *known >= absent_at) {
    return;
  }
  known = absent_at;
  m_outputs.emplace_back(DeclarationDated{
      .model = question.declaration.model,
      .version = question.declaration.version,
      .absent_at = absent_at,
      .reports = static_cast<std::uint32_t>(question.answers.size()),
      .after_outage = after_outage});
}

bool PeerExchange::IsDecided(kernel::Time now, const Question& question) const {
  return now - question.declaration.read_at >= m_settings.decision_time ||
         (!m_peers.empty() &&
          std::ranges::all_of(m_peers, [&question](const auto& peer) {
            return question.answers.contains(peer.first);
          }));
}

void PeerExchange::Decide(Question& question) {
  if (!question.read_late || !question.declaration.store_lost) {
    return;
  }
  std::size_t without_store = 0;
  kernel::Time first_read = question.declaration.read_at;
  for (const auto& [address, evidence] : question.answers) {
    if (evidence.in_contact.value_or(false)) {
      return;
    }
    without_store += evidence.in_contact ? 1 : 0;
    first_read = std::min(first_read, evidence.read_at.value_or(first_read));
  }
  if (without_store > 0 &&
      static_cast<double>(without_store) >=
          kOutageQuorum * static_cast<double>(m_peers.size())) {
    RaiseBound(question, first_read, /*after_outage=*/true);
  }
}

std::vector<PeerOutput> PeerExchange::TakeOutputs() {
  return std::exchange(m_outputs, {});
}

}  // namespace radishrudder::peers
