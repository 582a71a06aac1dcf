#ifndef waxwingyoke_requests_load_Beds_h
#define waxwingyoke_requests_load_Beds_h

#include <string>

#include <bed/Bed.h>
#include <utils/Error.h>

namespace waxwingyoke::requests_load {

inline constexpr const char* kChatProfile = "llm-pool";
inline constexpr const char* kServiceProfile = "register";

/** Capacity of each engine fake of a test bed. */
struct EngineCapacity
{
  std::uint32_t slots = 8;
  std::uint32_t tokensPerSecond = 50;
};

/** Publishes a small model on all engines; waits until all entries route to
 * it. */
bool
PublishModel(bed::Bed& aBed, utils::Error& aReason);

/** Publishes the plain services, with GET /status as idempotent; waits until
 * all entries route to them. */
bool
PublishService(bed::Bed& aBed, utils::Error& aReason);

/** Returns options of a test bed whose sides admit as many requests as their
 * engines run at once. */
bed::BedOptions
MakeOptions(std::vector<bed::Site> aSites,
            const EngineCapacity& aCapacity,
            std::uint64_t aSeed);

/** CPU time that a node's daemon has used, ms; 0 if it is not running. */
std::int64_t
GetCpuMillis(const bed::BedNode& aNode);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_Beds_h
