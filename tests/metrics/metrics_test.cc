#include "radishrudder/metrics/metrics.h"

#include <algorithm>
#include <thread>

#include <gtest/gtest.h>

namespace radishrudder::metrics {
namespace {

constexpr std::size_t kMaximumSeries = 100;

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

double ValueOf(const std::string& text, const std::string& identity) {
  const std::size_t line_start = ("\n" + text).find("\n" + identity + " ");
  if (line_start == std::string::npos) {
    return -1;
  }
  return std::stod(text.substr(line_start + identity.size() + 1));
}

TEST(MetricsTest, AddsToCountersAndReplacesGauges) {
  Metrics metrics(kMaximumSeries);
  metrics.Count("calls_total", {{"workspace", "a"}});
  metrics.Count("calls_total", {{"workspace", "a"}}, 2);
  metrics.Gauge("waiting", {}, 5);
  metrics.Gauge("waiting", {}, 3);
  EXPECT_EQ(metrics.PrometheusText(),
            "# TYPE calls_total counter\n"
            "calls_total{workspace=\"a\"} 3\n"
            "# TYPE waiting gauge\n"
            "waiting 3\n");
}

TEST(MetricsTest, EscapesLabelValues) {
  Metrics metrics(kMaximumSeries);
  metrics.Count("c", {{"w", "a\"b\\c\nd"}});
  EXPECT_TRUE(HasLine(metrics.PrometheusText(), R"(c{w="a\"b\\c\nd"} 1)"));
}

TEST(MetricsTest, HistogramHasCumulativeBucketsSumAndCount) {
  Metrics metrics(kMaximumSeries);
  for (const double value : {0.001, 0.004, 0.2, 100.0}) {
    metrics.Observe("call_seconds", {{"class", "x"}}, value);
  }
  const std::string text = metrics.PrometheusText();
  EXPECT_TRUE(HasLine(text, "# TYPE call_seconds histogram"));
  EXPECT_EQ(ValueOf(text, R"(call_seconds_bucket{class="x",le="0.001"})"), 1);
  EXPECT_EQ(ValueOf(text, R"(call_seconds_bucket{class="x",le="0.005"})"), 2);
  EXPECT_EQ(ValueOf(text, R"(call_seconds_bucket{class="x",le="60"})"), 3);
  EXPECT_EQ(ValueOf(text, R"(call_seconds_bucket{class="x",le="+Inf"})"), 4);
  EXPECT_EQ(ValueOf(text, R"(call_seconds_count{class="x"})"), 4);
  EXPECT_NEAR(ValueOf(text, R"(call_seconds_sum{class="x"})"), 100.205, 1e-9);
}

TEST(MetricsTest, EstimatesQuantilesOfEachSeries) {
  Metrics metrics(kMaximumSeries);
  constexpr int kObservations = 10'000;
  for (int i = 0; i < kObservations; ++i) {
    // Each value from 0 to 9.999 occurs once, in pseudorandom order.
    const double value = (i * 7919 % kObservations) / 1000.0;
    metrics.Observe("call_seconds", {{"workspace", "a"}}, value);
    metrics.Observe("call_seconds", {{"workspace", "b"}}, 0.5);
  }
  const std::string text = metrics.PrometheusText();
  const auto quantile = [&](const std::string& workspace,
                            const std::string& probability) {
    return ValueOf(text, "call_seconds_quantile{workspace=\"" + workspace +
                             "\",quantile=\"" + probability + "\"}");
  };
  EXPECT_NEAR(quantile("a", "0.5"), 5, 0.25);
  EXPECT_NEAR(quantile("a", "0.99"), 9.9, 0.1);
  EXPECT_DOUBLE_EQ(quantile("b", "0.99"), 0.5);
}

TEST(MetricsTest, OmitsQuantilesOfTooFewObservations) {
  Metrics metrics(kMaximumSeries);
  metrics.Observe("call_seconds", {}, 1);
  EXPECT_EQ(metrics.PrometheusText().find("quantile"), std::string::npos);
}

TEST(MetricsTest, ReplacesLabelValuesBeyondMaximumSeries) {
  Metrics metrics(2);
  for (const char* const workspace : {"a", "b", "c", "d", "a"}) {
    metrics.Count("calls_total", {{"workspace", workspace}});
  }
  EXPECT_EQ(metrics.PrometheusText(),
            "# TYPE calls_total counter\n"
            "calls_total{workspace=\"a\"} 2\n"
            "calls_total{workspace=\"b\"} 1\n"
            "calls_total{workspace=\"other\"} 2\n");
}

TEST(MetricsTest, CountsAllIncrementsOfConcurrentThreads) {
  constexpr int kThreadCount = 4;
  constexpr int kIncrementsPerThread = 2'000;
  Metrics metrics(8);
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreadCount; ++thread) {
    threads.emplace_back([&] {
      for (int i = 0; i < kIncrementsPerThread; ++i) {
        metrics.Count("c", {{"w", std::to_string(i % 20)}});
      }
    });
  }
  std::ranges::for_each(threads, &std::thread::join);
  double total = 0;
  const std::string text = metrics.PrometheusText();
  for (int i = 0; i < 20; ++i) {
    const double value = ValueOf(text, "c{w=\"" + std::to_string(i) + "\"}");
    total += std::max(value, 0.0);
  }
  total += ValueOf(text, "c{w=\"other\"}");
  EXPECT_EQ(total, kThreadCount * kIncrementsPerThread);
}

}  // namespace
}  // namespace radishrudder::metrics
