#ifndef TESTS_DIRECT_SHORTAGE_RESULT_H_
#define TESTS_DIRECT_SHORTAGE_RESULT_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

namespace radishrudder::direct {

inline constexpr std::size_t kWorkspaces = 10;

struct Share {
  double offered = 0;
  double good = 0;    // First event within the target, and complete.
  double served = 0;  // Complete.
  Share& operator+=(const Share& other) {
    offered += other.offered;
    good += other.good;
    served += other.served;
    return *this;
  }
  double Good() const { return offered > 0 ? good / offered : 1; }
  double Served() const { return offered > 0 ? served / offered : 1; }
};

struct Result {
  std::array<Share, 3> ranks;
  std::array<Share, kWorkspaces> workspaces;
  Share largest;  // The largest tenth of the calls.
  Share all;
  std::size_t unanswered = 0;
  std::size_t answered_twice = 0;
  double goodput = 0;  // Events of calls that were good.

  Result& operator+=(const Result& other) {
    for (std::size_t i = 0; i < ranks.size(); ++i) {
      ranks[i] += other.ranks[i];
    }
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
      workspaces[i] += other.workspaces[i];
    }
    largest += other.largest;
    all += other.all;
    unanswered += other.unanswered;
    answered_twice += other.answered_twice;
    goodput += other.goodput;
    return *this;
  }

  std::string Describe() const {
    std::string text;
    for (const Share& rank : ranks) {
      text += std::to_string(rank.Good()) + "/" +
              std::to_string(rank.Served()) + " ";
    }
    double least = 1;
    for (const Share& workspace : workspaces) {
      least = std::min(least, workspace.Served());
    }
    return "in target/served by rank " + text + "largest tenth " +
           std::to_string(largest.Served()) + " least workspace " +
           std::to_string(least) + " all " + std::to_string(all.Served()) +
           " goodput " + std::to_string(goodput);
  }
};

}  // namespace radishrudder::direct

#endif  // TESTS_DIRECT_SHORTAGE_RESULT_H_
