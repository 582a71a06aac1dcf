#include <telemetry/Metrics.h>

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace waxwingyoke::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{ 0.5, 0.95, 0.99 };
constexpr std::size_t kParts = 8;

using Accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::max,
                                  acc::tag::extended_p_square_quantile>>;

// A lock that is nearly always free: a thread meets another here only where
// their hashes fall together or while the metrics are shown.
struct Part
{
  mutable std::mutex mutex;
  Accumulator samples{ acc::tag::extended_p_square::probabilities =
                         kQuantiles };
};

} // namespace

struct Distribution::Impl
{
  std::array<Part, kParts> parts;
};

Distribution::Distribution()
  : impl_(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;

void
Distribution::Add(double aSample)
{
  auto index = std::hash<std::thread::id>{}(std::this_thread::get_id());
  auto& part = impl_->parts[index % kParts];
  std::scoped_lock lock(part.mutex);
  part.samples(aSample);
}

std::string
Distribution::Show(const std::string& aName) const
{
  std::uint64_t count = 0;
  double sum = 0;
  std::array<double, kQuantiles.size()> quantiles{};
  for (const auto& part : impl_->parts) {
    std::scoped_lock lock(part.mutex);
    auto partCount = acc::count(part.samples);
    if (partCount == 0) {
      continue;
    }
    count += partCount;
    sum += acc::sum(part.samples);
    // Parts hold random shares of one stream, so their quantiles differ by
    // chance only; weighting by count keeps a nearly idle part quiet.
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      quantiles[i] +=
        static_cast<double>(partCount) *
        acc::quantile(part.samples, acc::quantile_probability = kQuantiles[i]);
    }
  }
  std::ostringstream out;
  out << "# TYPE " << aName << " summary\n";
  for (std::size_t i = 0; i < kQuantiles.size() && count > 0; ++i) {
    out << aName << "{quantile=\"" << kQuantiles[i] << "\"} "
        << quantiles[i] / static_cast<double>(count) << "\n";
  }
  out << aName << "_sum " << sum << "\n" << aName << "_count " << count << "\n";
  return out.str();
}

struct Metrics::Impl
{
  mutable std::mutex mutex;
  std::map<std::string, Counter> counters;
  std::map<std::string, Gauge> gauges;
  std::map<std::string, Distribution> distributions;
};

Metrics::Metrics()
  : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

Metrics&
Metrics::Get()
{
  static Metrics sMetrics;
  return sMetrics;
}

Counter&
Metrics::GetCounter(const std::string& aName)
{
  std::scoped_lock lock(impl_->mutex);
  return impl_->counters[aName];
}

Gauge&
Metrics::GetGauge(const std::string& aName)
{
  std::scoped_lock lock(impl_->mutex);
  return impl_->gauges[aName];
}

Distribution&
Metrics::GetDistribution(const std::string& aName)
{
  std::scoped_lock lock(impl_->mutex);
  return impl_->distributions[aName];
}

std::string
Metrics::Show() const
{
  static const std::string kPrefix = "waxwingyoke_";
  std::scoped_lock lock(impl_->mutex);
  std::ostringstream out;
  for (const auto& [name, counter] : impl_->counters) {
    out << "# TYPE " << kPrefix << name << " counter\n"
        << kPrefix << name << " " << counter.Get() << "\n";
  }
  for (const auto& [name, gauge] : impl_->gauges) {
    out << "# TYPE " << kPrefix << name << " gauge\n"
        << kPrefix << name << " " << gauge.Get() << "\n";
  }
  for (const auto& [name, distribution] : impl_->distributions) {
    out << distribution.Show(kPrefix + name);
  }
  return out.str();
}

} // namespace waxwingyoke::telemetry
