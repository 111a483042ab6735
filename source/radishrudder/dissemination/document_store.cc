#include "document_store.h"

#include "radishrudder/kernel/hash.h"

namespace radishrudder::dissemination {

std::uint64_t VersionHash(std::string_view service, std::uint64_t revision) {
  return kernel::StableHash(service, std::to_string(revision));
}

wire::DocumentVersion VersionOf(const PublishedDocument& document) {
  wire::DocumentVersion version;
  version.set_service(document.service);
  version.set_revision(document.revision);
  return version;
}

bool DocumentStore::Accept(const PublishedDocument& document) {
  const std::uint64_t stored_revision = RevisionOf(document.service);
  if (document.revision <= stored_revision) {
    return false;
  }
  if (stored_revision != 0) {
    m_summary ^= VersionHash(document.service, stored_revision);
    const auto stored_entry = m_service_by_revision.find(stored_revision);
    if (stored_entry != m_service_by_revision.end() &&
        stored_entry->second == document.service) {
      m_service_by_revision.erase(stored_entry);
    }
  }
  m_summary ^= VersionHash(document.service, document.revision);
  m_service_by_revision[document.revision] = document.service;
  m_documents[document.service] = document;
  return true;
}

const PublishedDocument* DocumentStore::Find(std::string_view service) const {
  const auto found = m_documents.find(service);
  return found == m_documents.end() ? nullptr : &found->second;
}

std::vector<const PublishedDocument*> DocumentStore::All() const {
  std::vector<const PublishedDocument*> all;
  all.reserve(m_documents.size());
  for (const auto& entry : m_documents) {
    all.push_back(&entry.second);
  }
  return all;
}

std::uint64_t DocumentStore::RevisionOf(std::string_view service) const {
  const PublishedDocument* document = Find(service);
  return document == nullptr ? 0 : document->revision;
}

std::vector<wire::DocumentVersion> DocumentStore::Newest(
    std::size_t limit) const {
  std::vector<wire::DocumentVersion> versions;
  for (auto entry = m_service_by_revision.rbegin();
       entry != m_service_by_revision.rend() && versions.size() < limit;
       ++entry) {
    versions.push_back(VersionOf(*Find(entry->second)));
  }
  return versions;
}

std::vector<wire::DocumentVersion> DocumentStore::Versions() const {
  std::vector<wire::DocumentVersion> versions;
  versions.reserve(m_documents.size());
  for (const auto& entry : m_documents) {
    versions.push_back(VersionOf(entry.second));
  }
  return versions;
}

}  // namespace radishrudder::dissemination
