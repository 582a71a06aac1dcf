#ifndef waxwingyoke_platform_FleetCodecs_h
#define waxwingyoke_platform_FleetCodecs_h

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <platform/FleetConfig.h>
#include <platform/Upstream.h>
#include <utils/Error.h>

namespace waxwingyoke::platform {

/** What a record of the operator's topic holds, by its key. */
struct OperatorKey
{
  /** The record holds the configuration. */
  bool isConfig = false;
  /** The record names the newest version of this model; empty for others. */
  std::string model;
  /** The record evacuates this data centre; empty for others. */
  std::string evacuated;
};

/**
 * An adapter's parsers for the records of the platform's topics. A parser
 * returns no value, and sets aReason, where a record is malformed.
 */
struct FleetCodecs
{
  std::function<OperatorKey(std::string_view aKey)> parseOperatorKey;
  std::function<std::optional<FleetConfig>(std::string_view aText,
                                           utils::Error& aReason)>
    parseConfig;
  std::function<std::optional<std::uint64_t>(std::string_view aText,
                                             utils::Error& aReason)>
    parseNamedVersion;
  std::function<std::optional<Upstream>(std::string_view aId,
                                        std::string_view aText,
                                        utils::Error& aReason)>
    parseUpstream;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_FleetCodecs_h
