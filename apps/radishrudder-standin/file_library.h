#ifndef RADISHRUDDER_STANDIN_FILE_LIBRARY_H_
#define RADISHRUDDER_STANDIN_FILE_LIBRARY_H_

#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace radishrudder::standin {

// Files of weights in one folder, and their manifests.
class FileLibrary {
 public:
  explicit FileLibrary(std::filesystem::path directory)
      : m_directory(std::move(directory)) {}

  using Text = std::shared_ptr<const std::string>;

  // Returns the text of the manifest with this digest, or null.
  Text FindManifest(const std::string& digest);
  // Returns the bytes of a file, or null.
  Text FindFile(const std::string& name);

 private:
  void ReadManifests();
  static Text Read(const std::filesystem::path& path);

  std::filesystem::path m_directory;
  std::map<std::string, Text> m_manifests;  // By digest.
  std::map<std::string, Text> m_files;      // By name.
};

}  // namespace radishrudder::standin

#endif  // RADISHRUDDER_STANDIN_FILE_LIBRARY_H_
