#ifndef RADISHRUDDER_APPS_RADISHRUDDER_MAPPED_FILE_H_
#define RADISHRUDDER_APPS_RADISHRUDDER_MAPPED_FILE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace radishrudder::command_line {

// The bytes of a file, mapped for reading, so that weights larger than the
// machine's memory can be described.
class MappedFile {
 public:
  // Sets `error` if the file cannot be mapped.
  MappedFile(const std::string& path, std::error_code& error);
  ~MappedFile();
  MappedFile(const MappedFile&) = delete;
  MappedFile& operator=(const MappedFile&) = delete;

  std::string_view Bytes() const {
    return {static_cast<const char*>(m_data), m_size};
  }

 private:
  void* m_data = nullptr;
  std::size_t m_size = 0;
};

}  // namespace radishrudder::command_line

#endif  // RADISHRUDDER_APPS_RADISHRUDDER_MAPPED_FILE_H_
