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
constexpr std::size_t kShards = 8;

using Accumulator =
  acc::accumulator_set<double,
                       acc::stats<acc::tag::count,
                                  acc::tag::sum,
                                  acc::tag::max,
                                  acc::tag::extended_p_square_quantile>>;

// The samples of the threads whose ids hash to one index. The lock is rarely
// contended: only by threads with the same index and by Show.
struct Shard
{
  mutable std::mutex mutex;
  Accumulator samples{ acc::tag::extended_p_square::probabilities =
                         kQuantiles };
};

} // namespace

struct Distribution::Impl
{
  std::array<Shard, kShards> shards;
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
  auto& shard = impl_->shards[index % kShards];
  std::scoped_lock lock(shard.mutex);
  shard.samples(aSample);
}

std::string
Distribution::Show(const std::string& aName) const
{
  std::uint64_t count = 0;
  double sum = 0;
  std::array<double, kQuantiles.size()> quantiles{};
  for (const auto& shard : impl_->shards) {
    std::scoped_lock lock(shard.mutex);
    auto shardCount = acc::count(shard.samples);
    if (shardCount == 0) {
      continue;
    }
    count += shardCount;
    sum += acc::sum(shard.samples);
    // Shards hold random samples of one stream, so their quantiles differ only
    // by chance. Weighting by count limits the effect of a shard with few
    // samples.
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      quantiles[i] +=
        static_cast<double>(shardCount) *
        acc::quantile(shard.samples, acc::quantile_probability = kQuantiles[i]);
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
