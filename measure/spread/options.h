#ifndef MEASURE_SPREAD_OPTIONS_H_
#define MEASURE_SPREAD_OPTIONS_H_

#include <cstdint>
#include <string>

namespace radishrudder::measure {

// What one run spreads, over which links, with which faults.
struct SpreadOptions {
  std::uint64_t seed = 1;
  std::uint32_t instances = 16;
  std::uint32_t data_centres = 3;  // Each a region of its own.
  double mebibytes = 8;            // Size of the weights, F.
  double window_seconds = 20;      // The origin's link carries 4 F in it.
  double region_mbits = 20;        // Each way, for a pair of regions.
  double kill_percent = 0;
  double corrupt_percent = 0;
  std::uint32_t chunk_kib = 32;
  std::uint32_t neighbours = 6;
  std::uint32_t inventory_milliseconds = 60;
  std::uint32_t requests = 2;  // In progress to one neighbour.
  std::string selector = "rarest-first";
  bool relay = true;  // Regions take chunks from each other.
  bool push = true;   // Chunks go to those on duty without another request.
  double speed = 0.5;
  std::uint32_t threads = 4;
  bool slopes = false;  // Measure single cores of several sizes instead.

  double FileBytes() const { return mebibytes * (1U << 20U); }
  double OriginRate() const { return 4 * FileBytes() / window_seconds; }
  double InstanceRate() const { return 2 * FileBytes() / window_seconds; }
  double RegionRate() const { return region_mbits * 1e6 / 8; }
  bool HasFaults() const { return kill_percent > 0 || corrupt_percent > 0; }
  // Least time in seconds in which the links can carry the weights to all.
  double FluidBound() const;
};

// Parses the command line; prints the usage and exits for --help or mistakes.
SpreadOptions ParseOptions(int argc, char** argv);

}  // namespace radishrudder::measure

#endif  // MEASURE_SPREAD_OPTIONS_H_
