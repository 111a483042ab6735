#include "options.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace radishrudder::measure {

double SpreadOptions::FluidBound() const {
  const double bytes = FileBytes();
  const double upload = OriginRate() + instances * InstanceRate();
  double bound = std::max(bytes / OriginRate(), bytes / InstanceRate());
  bound = std::max(bound, instances * bytes / upload);
  return data_centres > 1 ? std::max(bound, bytes / RegionRate()) : bound;
}

SpreadOptions ParseOptions(int argc, char** argv) {
  SpreadOptions options;
  cxxopts::Options parser(
      "measure_spread",
      "Spreads weights over loopback and prints one JSON line of figures.");
  const auto add = [&parser](const char* name, const char* text, auto& value) {
    using Value = std::remove_reference_t<decltype(value)>;
    parser.add_options()(name, text, cxxopts::value<Value>(value));
  };
  add("seed", "Seed of all random choices", options.seed);
  add("instances", "Instances that receive the weights", options.instances);
  add("data-centres", "Data centres, each a region", options.data_centres);
  add("mebibytes", "Size of the weights", options.mebibytes);
  add("window-seconds", "Time in which the origin's link carries 4 copies",
      options.window_seconds);
  add("region-mbits", "Link between two regions, each way",
      options.region_mbits);
  add("kill-percent", "Instances that die midway", options.kill_percent);
  add("corrupt-percent", "Chunks corrupted on the way",
      options.corrupt_percent);
  add("chunk-kib", "Size of a chunk", options.chunk_kib);
  add("neighbours", "Neighbours of an instance", options.neighbours);
  add("inventory-milliseconds", "Time between inventories",
      options.inventory_milliseconds);
  add("requests", "Requests in progress to one neighbour", options.requests);
  add("selector", "Chunk selector", options.selector);
  add("speed", "0: few bytes from the origin, 1: time", options.speed);
  add("relay", "Whether regions take chunks from each other", options.relay);
  add("push", "Whether chunks go to those on duty unasked", options.push);
  add("threads", "Threads that share the instances", options.threads);
  add("slopes", "Print what single cores of several sizes take instead",
      options.slopes);
  parser.add_options()("help", "Print this text");
  try {
    const cxxopts::ParseResult result = parser.parse(argc, argv);
    if (result.count("help") == 0) {
      return options;
    }
    std::cout << parser.help();
    std::exit(EXIT_SUCCESS);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << parser.help();
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace radishrudder::measure
