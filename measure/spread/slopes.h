#ifndef MEASURE_SPREAD_SLOPES_H_
#define MEASURE_SPREAD_SLOPES_H_

#include <cstdint>

namespace radishrudder::measure {

// Size of one transfer core.
struct SlopeShape {
  std::uint32_t peers = 0;  // Instances of the service, three regions.
  std::uint32_t chunks = 0;
  std::uint32_t neighbours = 0;
};

// What a core of that size takes, without any input or output.
struct SlopeFigures {
  double state_bytes = 0;             // Without the chunks themselves.
  double peers_changed_us = 0;        // Processor time for a changed list.
  double inventory_us = 0;            // For an inventory received.
  double chunk_us = 0;                // For a chunk received, checked, kept.
  double chunk_us_per_mebibyte = 0;   // The part of it that grows with size.
  std::uint64_t inventory_bytes = 0;  // Of one inventory on the wire.
};

SlopeFigures MeasureSlopes(const SlopeShape& shape);

// Prints one JSON line for each of several shapes up to 2,400 instances.
void PrintSlopes();

}  // namespace radishrudder::measure

#endif  // MEASURE_SPREAD_SLOPES_H_
