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

// The highest revision of every document seen. Revisions never go down.
class DocumentStore {
 public:
  // Takes a document if its revision is higher than the one held. Returns
  // whether it was taken.
  bool Accept(const PublishedDocument& document);

  const PublishedDocument* Find(std::string_view service) const;
  std::vector<const PublishedDocument*> All() const;
  std::size_t Size() const { return m_documents.size(); }
  // Returns the revision held of a service; 0: none.
  std::uint64_t RevisionOf(std::string_view service) const;

  // Hash over every service and its revision; independent of the order.
  std::uint64_t Summary() const { return m_summary; }

  // Returns the versions held, the highest revisions first, at most `limit`.
  std::vector<wire::DocumentVersion> Newest(std::size_t limit) const;
  std::vector<wire::DocumentVersion> Versions() const;

 private:
  std::map<std::string, PublishedDocument, std::less<>> m_documents;
  // Service by revision, to find what changed last.
  std::map<std::uint64_t, std::string> m_recent;
  std::uint64_t m_summary = 0;
};

// Returns one version's part of a summary.
std::uint64_t SummaryOf(std::string_view service, std::uint64_t revision);

// Returns the announcement of one document, without its content.
wire::DocumentVersion VersionOf(const PublishedDocument& document);

}  // namespace radishrudder::dissemination

#endif  // RADISHRUDDER_SOURCE_DISSEMINATION_DOCUMENT_STORE_H_
