#ifndef RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_STORE_H_
#define RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_STORE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishrudder/dissemination/document_replica.h"
#include "radishrudder/wire/peer.pb.h"

namespace radishrudder::dissemination {

// Stores the highest received revision of every document. The revision of a
// document never decreases.
class DocumentStore {
 public:
  // Stores a document if its revision is higher than the stored one. Returns
  // whether it was stored.
  bool Accept(const PublishedDocument& document);

  const PublishedDocument* Find(std::string_view service) const;
  std::vector<const PublishedDocument*> All() const;
  std::size_t Size() const { return m_documents.size(); }
  // Returns the stored revision of the document of a service; 0: none.
  std::uint64_t RevisionOf(std::string_view service) const;

  // Returns the XOR of the hashes of all stored versions. Two stores with the
  // same versions have the same summary.
  std::uint64_t Summary() const { return m_summary; }

  // Returns at most `limit` stored versions, the highest revisions first.
  std::vector<wire::DocumentVersion> Newest(std::size_t limit) const;
  std::vector<wire::DocumentVersion> Versions() const;

 private:
  std::map<std::string, PublishedDocument, std::less<>> m_documents;
  // Maps revisions to services, to find the latest changes.
  std::map<std::uint64_t, std::string> m_service_by_revision;
  std::uint64_t m_summary = 0;
};

// Returns the hash of one version, which a summary combines by XOR.
std::uint64_t VersionHash(std::string_view service, std::uint64_t revision);

// Returns the service and the revision of a document.
wire::DocumentVersion VersionOf(const PublishedDocument& document);

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_STORE_H_
