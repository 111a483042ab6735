#include "radishrudder/weights/offer_table.h"

#include <utility>

namespace radishrudder::weights {

void OfferTable::Reset(std::size_t chunks) {
  m_chunks = chunks;
  m_copies.assign(chunks, 0);
  for (auto& [name, offer] : m_offers) {
    ResizeToVersion(offer);
    UpdateCopies(offer.present, 1);
  }
}

void OfferTable::ResizeToVersion(Offer& offer) const {
  if (m_chunks != 0 && offer.present.Size() != m_chunks) {
    offer.present = ChunkBitmap(m_chunks);
    offer.fetching = ChunkBitmap(m_chunks);
  }
}

void OfferTable::UpdateCopies(const ChunkBitmap& present, std::int32_t change) {
  if (present.Size() != m_chunks) {
    return;
  }
  const ChunkBitmap none(m_chunks);
  present.ForEachWithout(none, none, [this, change](std::size_t index) {
    m_copies[index] += static_cast<std::uint32_t>(change);
  });
}

bool OfferTable::Set(std::string_view instance, Offer offer) {
  const auto found = m_offers.find(instance);
  bool fewer = true;
  ResizeToVersion(offer);
  if (found != m_offers.end()) {
    fewer = offer.present.Count() < found->second.present.Count();
    offer.backoff_until = found->second.backoff_until;
    UpdateCopies(found->second.present, -1);
    m_offers.erase(found);
  }
  UpdateCopies(offer.present, 1);
  m_offers.emplace(instance, std::move(offer));
  return fewer;
}

void OfferTable::Remove(std::string_view instance) {
  const auto found = m_offers.find(instance);
  if (found != m_offers.end()) {
    UpdateCopies(found->second.present, -1);
    m_offers.erase(found);
  }
}

Offer* OfferTable::Find(std::string_view instance) {
  const auto found = m_offers.find(instance);
  return found == m_offers.end() ? nullptr : &found->second;
}

std::vector<std::string> OfferTable::Instances() const {
  std::vector<std::string> names;
  for (const auto& [name, offer] : m_offers) {
    names.push_back(name);
  }
  return names;
}

}  // namespace radishrudder::weights
