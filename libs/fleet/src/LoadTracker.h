#ifndef waxwingyoke_fleet_LoadTracker_h
#define waxwingyoke_fleet_LoadTracker_h

#include <cstdint>
#include <optional>

#include <platform/Upstream.h>
#include <platform/UpstreamCalls.h>
#include <utils/Time.h>

namespace waxwingyoke::fleet {

/** An order that was sent to the upstream. */
struct SentOrder
{
  std::uint64_t version = 0;
  /** The number of accepted orders that it was decided on. */
  std::uint64_t expectedOrders = 0;
  /** When the oldest read of the check that it relies on began. */
  utils::Millis checkedAt;
  /** All layers that the upstream holds afterwards come from this order. */
  bool replacesAll = true;
  /** A write without an answer may be applied after the check. */
  bool mayBeOverwritten = false;
};

/** A check of the staged pieces that began after a load was accepted. */
struct LoadCheck
{
  /** GetAcceptance at its start. */
  std::int64_t startedMs = 0;
  std::uint64_t orders = 0;
  bool isWhole = false;
  /** The last write to the staging area; empty if there was none. */
  std::optional<utils::Millis> lastWriteAt;
};

/**
 * Tracks whether all weights that the upstream holds are known to come from
 * whole pieces of one version. It takes the pieces as they are when it accepts
 * an order, which may be long after the order was sent, and other processes of
 * this VM may have ordered. Times are on a clock that counts suspensions.
 */
class LoadTracker
{
public:
  /** aSentAt is when the report was requested. */
  void ApplyReport(const platform::UpstreamReport& aReport,
                   utils::Millis aSentAt);

  /** Called right before an order is written to the connection. */
  void RecordSent(const SentOrder& aOrder);

  /** The answer to the last order; empty if there was none. */
  void RecordAnswer(const std::optional<platform::OrderResult>& aResult,
                    utils::Millis aNow);

  void RecordCheck(const LoadCheck& aCheck);

  /**
   * Whether the upstream holds only what it accepted before this process
   * started. That counts as proven until something speaks against it.
   */
  bool IsInherited() const { return isInherited_ && orders_ > 0; }

  /** No check can prove the last load. */
  void Refute();

  /** What a check applies to that begins now. */
  LoadCheck GetAcceptance() const;

  /** Whether requests may run on the weights. */
  bool IsProven() const { return orders_ <= provenOrders_; }

  /** Not proven, but a check of the staged pieces may prove it. */
  bool NeedsCheck() const { return !IsProven() && !isRefuted_; }

  /** Not proven, and no check can: the weights have to be loaded again. */
  bool IsRefuted() const { return !IsProven() && isRefuted_; }

  /** The version of an order that the upstream may still accept. */
  std::optional<std::uint64_t> GetOpenVersion() const;

private:
  bool IsNewIncarnation(const platform::UpstreamReport& aReport) const;
  void StartAnew(const platform::UpstreamReport& aReport,
                 std::uint64_t aProvenOrders,
                 utils::Millis aSentAt);

  bool hasReport_ = false;
  std::int64_t startedMs_ = 0;
  /** Accepted orders as of the last report, and as of the last proven load. */
  std::uint64_t orders_ = 0;
  std::uint64_t provenOrders_ = 0;
  /** When the last report was requested, and the last one with fewer orders. */
  utils::Millis reportedAt_;
  utils::Millis fewerReportedAt_;
  /** When the answer arrived that proved a load. */
  utils::Millis provenAt_;
  /** No unproven load was accepted before. */
  utils::Millis unprovenSince_;
  bool isRefuted_ = false;
  /** This process has proven no load of this incarnation. */
  bool isInherited_ = true;
  /** The last order; empty if it concerns an earlier incarnation. */
  std::optional<SentOrder> last_;
  /** An order that the upstream may still accept. */
  std::optional<SentOrder> open_;
};

/** Whether the upstream holds some of those layers of that version. */
bool
HoldsPartOf(const platform::UpstreamReport& aReport,
            std::uint64_t aVersion,
            const platform::LayerRange& aRange);

/**
 * The layers to order so that all are loaded from the staged pieces, the first
 * of several orders where the upstream holds layers of that version already, as
 * it does not load them again: it drops the layers outside the range of an
 * order.
 */
platform::LayerRange
ChooseLayers(const platform::UpstreamReport& aReport,
             std::uint64_t aVersion,
             std::uint32_t aLayers,
             bool aIsProven);

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_LoadTracker_h
