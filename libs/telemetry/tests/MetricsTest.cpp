#include <doctest/doctest.h>

#include <telemetry/Metrics.h>

using namespace waxwingyoke::telemetry;

TEST_CASE("metrics are shown in Prometheus text format")
{
  Metrics::Get().GetCounter("calls_total").Add(3);
  Metrics::Get().GetGauge("running").Set(-2);
  auto& samples = Metrics::Get().GetDistribution("wait_ms");
  for (int i = 1; i <= 1000; ++i) {
    samples.Add(i);
  }
  auto page = Metrics::Get().Show();
  CHECK(page.find("waxwingyoke_calls_total 3\n") != std::string::npos);
  CHECK(page.find("waxwingyoke_running -2\n") != std::string::npos);
  CHECK(page.find("waxwingyoke_wait_ms_count 1000\n") != std::string::npos);
  CHECK(page.find("waxwingyoke_wait_ms{quantile=\"0.5\"} 50") !=
        std::string::npos);
}
