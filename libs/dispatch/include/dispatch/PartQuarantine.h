#ifndef waxwingyoke_dispatch_PartQuarantine_h
#define waxwingyoke_dispatch_PartQuarantine_h

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <utils/Time.h>

namespace waxwingyoke::dispatch {

/** A part of prompts that crashes upstreams; requests with it are refused. */
struct QuarantinedPart
{
  /** Stable hash of the part's id. */
  std::uint64_t part = 0;
  utils::Millis until;
  /** Length of the quarantine, which doubles each time it is imposed again. */
  utils::Millis duration;
};

/**
 * Holds the quarantined parts. After its quarantine a part is on probation for
 * as long again, in which one crash puts it back. Not thread-safe.
 */
class PartQuarantine
{
public:
  /** Quarantines a part, again if it was before; returns the new row. */
  QuarantinedPart Impose(std::uint64_t aPart,
                         utils::Millis aShortest,
                         utils::Millis aNow);

  /** Takes over a row from another entry or from the log. */
  void Apply(const QuarantinedPart& aPart);

  /**
   * Ends the part's quarantine, or its probation, if a request with it ran
   * without a crash at aSurvivedAt, after it was imposed. Returns whether it
   * was quarantined.
   */
  bool RecordSurvival(std::uint64_t aPart,
                      utils::Millis aSurvivedAt,
                      utils::Millis aNow);

  /** Ends a quarantine at once; false if the part is not quarantined. */
  bool Release(std::uint64_t aPart, utils::Millis aNow);

  bool IsQuarantined(std::uint64_t aPart, utils::Millis aNow) const;
  /** Whether the part, on probation now, ran in a crash at aCrashedAt. */
  bool HasRelapsed(std::uint64_t aPart,
                   utils::Millis aCrashedAt,
                   utils::Millis aNow) const;
  /** Whether one of aParts was held to be the cause of a crash at that time. */
  bool Explains(const std::vector<std::uint64_t>& aParts,
                utils::Millis aCrashedAt) const;

  /** The quarantined one of aParts; empty if there is none. */
  std::optional<std::uint64_t> Find(const std::vector<std::uint64_t>& aParts,
                                    utils::Millis aNow) const;

  /** In the order of their ends. */
  std::vector<QuarantinedPart> List(utils::Millis aNow) const;

  /** Removes rows whose probation is over. */
  void RemoveExpired(utils::Millis aNow);

private:
  struct Row
  {
    utils::Millis until;
    utils::Millis duration;
    /** When it was released; what was imposed before is void. */
    std::optional<utils::Millis> releasedAt;
  };

  std::unordered_map<std::uint64_t, Row> rows_;
};

} // namespace waxwingyoke::dispatch

#endif // waxwingyoke_dispatch_PartQuarantine_h
