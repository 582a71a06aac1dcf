#ifndef waxwingyoke_telemetry_Metrics_h
#define waxwingyoke_telemetry_Metrics_h

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace waxwingyoke::telemetry {

/** A counter that only increases; safe from every thread. */
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  std::uint64_t Get() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/** A value that can increase and decrease; safe from every thread. */
class Gauge
{
public:
  void Set(std::int64_t aValue)
  {
    value_.store(aValue, std::memory_order_relaxed);
  }
  void Add(std::int64_t aDelta)
  {
    value_.fetch_add(aDelta, std::memory_order_relaxed);
  }
  std::int64_t Get() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> value_{ 0 };
};

/**
 * Collects samples and reports their count, sum and estimated quantiles. Safe
 * from every thread.
 */
class Distribution
{
public:
  Distribution();
  ~Distribution();

  /** Adds to the shard of the calling thread; Show merges the shards. */
  void Add(double aSample);

  /** The summary aName in Prometheus text format. */
  std::string Show(const std::string& aName) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/**
 * The process's metrics by name; safe from every thread. A metric exists until
 * the process exits, so callers may keep the reference.
 *
 *     static Counter& sRefused = Metrics::Get().GetCounter("refused_total");
 */
class Metrics
{
public:
  static Metrics& Get();

  Counter& GetCounter(const std::string& aName);
  Gauge& GetGauge(const std::string& aName);
  Distribution& GetDistribution(const std::string& aName);

  /** All metrics in Prometheus text format, with the prefix waxwingyoke_. */
  std::string Show() const;

private:
  Metrics();
  ~Metrics();

  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::telemetry

#endif // waxwingyoke_telemetry_Metrics_h
