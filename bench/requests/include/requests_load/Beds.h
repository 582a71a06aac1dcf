#ifndef waxwingyoke_requests_load_Beds_h
#define waxwingyoke_requests_load_Beds_h

#include <string>

#include <bed/Bed.h>
#include <utils/Error.h>

namespace waxwingyoke::requests_load {

inline constexpr const char* kChatProfile = "llm-pool";
inline constexpr const char* kServiceProfile = "register";

/** How the engine stand-ins of a bed work. */
struct EngineShape
{
  std::uint32_t slots = 8;
  std::uint32_t tokensPerSecond = 50;
};

/** Publishes a small model on all engines; waits until entries route to it. */
bool
PublishModel(bed::Bed& aBed, utils::Error& aReason);

/** Publishes the plain services, of which GET /status is idempotent. */
bool
PublishService(bed::Bed& aBed, utils::Error& aReason);

/** Options of a bed whose sides admit as many as their engines run. */
bed::BedOptions
MakeOptions(std::vector<bed::Site> aSites,
            const EngineShape& aShape,
            std::uint64_t aSeed);

/** Processor time that a process has used, ms; 0 where it is gone. */
std::int64_t
GetProcessorMillis(const bed::BedNode& aNode);

} // namespace waxwingyoke::requests_load

#endif // waxwingyoke_requests_load_Beds_h
