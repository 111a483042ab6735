#include "mapped_file.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace radishrudder::command_line {
namespace {

std::error_code LastError() {
  return {errno, std::generic_category()};
}

// Closes a file descriptor at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int number) : m_number(number) {}
  ~Descriptor() {
    if (m_number >= 0) {
      close(m_number);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Number() const { return m_number; }

 private:
  int m_number;
};

}  // namespace

MappedFile::MappedFile(const std::string& path, std::error_code& error) {
  const Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (file.Number() < 0 || fstat(file.Number(), &status) != 0) {
    error = LastError();
    return;
  }
  if (!S_ISREG(status.st_mode)) {
    error = std::make_error_code(std::errc::invalid_argument);
    return;
  }
  const auto size = static_cast<std::size_t>(status.st_size);
  if (size == 0) {
    return;  // An empty file cannot be mapped and has no bytes.
  }
  void* const data =
      mmap(nullptr, size, PROT_READ, MAP_PRIVATE, file.Number(), 0);
  if (data == MAP_FAILED) {
    error = LastError();
    return;
  }
  m_data = data;
  m_size = size;
}

MappedFile::~MappedFile() {
  if (m_data != nullptr) {
    munmap(m_data, m_size);
  }
}

}  // namespace radishrudder::command_line
