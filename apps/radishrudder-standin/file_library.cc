#include "file_library.h"

#include <fstream>
#include <iterator>
#include <string_view>

#include "radishrudder/weights/manifest.h"

namespace radishrudder::standin {
namespace {

constexpr std::string_view kManifestSuffix = ".manifest.json";

}  // namespace

FileLibrary::Text FileLibrary::FindManifest(const std::string& digest) {
  if (!m_manifests.contains(digest)) {
    ReadManifests();
  }
  const auto found = m_manifests.find(digest);
  return found == m_manifests.end() ? nullptr : found->second;
}

FileLibrary::Text FileLibrary::FindFile(const std::string& name) {
  if (name.empty() || name.find('/') != std::string::npos || name == "..") {
    return nullptr;
  }
  Text& text = m_files[name];
  if (!text) {
    text = Read(m_directory / name);
  }
  return text;
}

void FileLibrary::ReadManifests() {
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(m_directory, error)) {
    if (!entry.path().string().ends_with(kManifestSuffix)) {
      continue;
    }
    if (const Text text = Read(entry.path())) {
      m_manifests[weights::ToText(weights::Sha256(*text))] = text;
    }
  }
}

FileLibrary::Text FileLibrary::Read(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return nullptr;
  }
  std::string bytes(std::istreambuf_iterator<char>(file), {});
  // A manifest's digest is that of its text without the end of the last line.
  if (path.string().ends_with(kManifestSuffix) && bytes.ends_with('\n')) {
    bytes.pop_back();
  }
  return std::make_shared<const std::string>(std::move(bytes));
}

}  // namespace radishrudder::standin
