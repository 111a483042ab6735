#include "radishrudder/weights/manifest.h"

#include <filesystem>
#include <iostream>
#include <optional>

#include "command.h"
#include "files.h"
#include "mapped_file.h"

namespace radishrudder::command_line {
namespace {

constexpr std::uint32_t kBytesPerKibibyte = 1024;
constexpr std::size_t kMaximumReportedChunks = 20;

void ReportUnreadable(const std::string& path, const std::error_code& error) {
  kernel::Findings findings;
  findings.Error({path, 0, 0, ""}, "cannot be read: " + error.message(),
                 "the path of a weights file that can be read");
  std::cerr << kernel::Format(findings);
}

int WriteManifest(const settings::Values& values, const std::string& path) {
  std::error_code error;
  const MappedFile file(path, error);
  if (error) {
    ReportUnreadable(path, error);
    return settings::kExitFailure;
  }
  std::string name = values.Text("name");
  if (name.empty()) {
    name = std::filesystem::path(path).filename().string();
  }
  const auto chunk_bytes = static_cast<std::uint32_t>(
      values.Integer("chunk-kib") * kBytesPerKibibyte);
  weights::Manifest manifest =
      weights::DescribeFile(name, file.Bytes(), chunk_bytes);
  manifest.base = values.Text("base");
  const std::string text = weights::ToText(manifest);
  // What an agent would refuse is refused here already.
  kernel::Findings findings;
  weights::ParseManifest(path, text, findings);
  std::cerr << kernel::Format(findings);
  if (findings.HasErrors()) {
    return settings::kExitFailure;
  }
  std::cout << text << std::flush;
  std::cerr << weights::ManifestDigest(manifest) << "\n";
  return settings::kExitSuccess;
}

// Reports the chunks that differ from the manifest.
void CompareChunks(const weights::Manifest& manifest,
                   std::string_view bytes,
                   const std::string& path,
                   kernel::Findings& findings) {
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
    const weights::Chunk& chunk = manifest.chunks[i];
    const std::string_view part = chunk.offset < bytes.size()
                                      ? bytes.substr(chunk.offset, chunk.size)
                                      : std::string_view();
    if (weights::Sha256(part) == chunk.digest) {
      continue;
    }
    if (++wrong <= kMaximumReportedChunks) {
      findings.Error({path, 0, 0, ""},
                     "chunk " + std::to_string(i) + " (" +
                         std::to_string(chunk.size) + " bytes at " +
                         std::to_string(chunk.offset) + ") differs",
                     weights::ToText(chunk.digest));
    }
  }
  if (wrong > kMaximumReportedChunks) {
    findings.Error({path, 0, 0, ""},
                   std::to_string(wrong) + " chunks differ in all", "");
  }
}

int VerifyFile(const std::string& manifest_path, const std::string& path) {
  kernel::Findings findings;
  const std::optional<std::string> text = ReadFile(manifest_path, findings);
  std::optional<weights::Manifest> manifest;
  if (text) {
    manifest = weights::ParseManifest(manifest_path, *text, findings);
  }
  if (!manifest) {
    std::cerr << kernel::Format(findings);
    return settings::kExitFailure;
  }
  std::error_code error;
  const MappedFile file(path, error);
  if (error) {
    ReportUnreadable(path, error);
    return settings::kExitFailure;
  }
  if (file.Bytes().size() != manifest->size) {
    findings.Error({path, 0, 0, ""},
                   "has " + std::to_string(file.Bytes().size()) + " bytes",
                   std::to_string(manifest->size) + " bytes");
  }
  CompareChunks(*manifest, file.Bytes(), path, findings);
  if (manifest->file_digest &&
      weights::Sha256(file.Bytes()) != *manifest->file_digest) {
    findings.Error({path, 0, 0, ""}, "the whole file differs",
                   weights::ToText(*manifest->file_digest));
  }
  std::cerr << kernel::Format(findings);
  if (findings.HasErrors()) {
    return settings::kExitFailure;
  }
  std::cout << path << ": matches " << weights::ManifestDigest(*manifest)
            << "\n";
  return settings::kExitSuccess;
}

int Run(const settings::CommandLine& command_line) {
  const std::vector<std::string>& paths = command_line.positional;
  if (paths.size() != 1) {
    return ReportArguments(paths.size(), "FILE, one weights file");
  }
  const std::string& expected = command_line.values.Text("verify");
  return expected.empty() ? WriteManifest(command_line.values, paths[0])
                          : VerifyFile(expected, paths[0]);
}

std::vector<settings::Option> Options() {
  return {
      {.name = "chunk-kib",
       .kind = settings::ValueKind::kInteger,
       .help = "Size of a chunk in KiB.",
       .default_value = "256",
       .minimum = 1,
       .maximum = weights::kMaximumChunkBytes / kBytesPerKibibyte},
      {.name = "base",
       .help = "For an adapter, the digest of its base's manifest."},
      {.name = "name",
       .help = "Name of the file at the origin; without it, the file's own."},
      {.name = "verify",
       .help = "Path of a manifest: check FILE against it and write nothing."},
  };
}

}  // namespace

Command ManifestCommand() {
  return {"manifest", "FILE",
          "Writes the manifest of a weights file to standard output and its "
          "digest to standard error.",
          Options(), Run};
}

}  // namespace radishrudder::command_line
