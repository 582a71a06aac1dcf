#include "VersionLimitCheck.h"

#include <algorithm>

#include <Deployment.h>

namespace waxwingyoke::soak {

namespace {

using utils::Millis;

constexpr Millis kBound(adapter::kVersionMs);

/** The version that the engine held at a time; 0 if none. */
std::uint64_t
FindVersionAt(const std::vector<adapter::VersionLoad>& aLoads, Millis aTime)
{
  auto next =
    std::ranges::upper_bound(aLoads, aTime, {}, &adapter::VersionLoad::at);
  return next == aLoads.begin() ? 0 : std::prev(next)->version;
}

} // namespace

void
VersionLimitCheck::RecordNaming(std::uint64_t aVersion, Millis aNow)
{
  namings_.push_back({ aVersion, aNow });
}

void
VersionLimitCheck::RecordDisruption(Millis aBegin, Millis aEnd)
{
  disruptions_.push_back({ aBegin, aEnd });
}

void
VersionLimitCheck::RecordDisturbance(const EntryDisturbance& aDisturbance)
{
  disturbances_.push_back(aDisturbance);
}

const VersionLimitCheck::Naming*
VersionLimitCheck::FindNext(std::uint64_t aVersion) const
{
  auto next =
    std::ranges::upper_bound(namings_, aVersion, {}, &Naming::version);
  return next == namings_.end() ? nullptr : &*next;
}

std::optional<Millis>
VersionLimitCheck::FindSoundSince(Millis aTime) const
{
  Millis since;
  for (const auto& disruption : disruptions_) {
    if (disruption.begin <= aTime) {
      since = std::max(since, disruption.end);
    }
  }
  return since < aTime ? std::optional(since) : std::nullopt;
}

bool
VersionLimitCheck::IsStable(std::size_t aEntry, Millis aTime) const
{
  return IsUndisturbed(aEntry, aTime - kStable, aTime);
}

bool
VersionLimitCheck::IsUndisturbed(std::size_t aEntry,
                                 Millis aFrom,
                                 Millis aTo) const
{
  return std::ranges::none_of(disturbances_, [&](const auto& aDisturbance) {
    return aDisturbance.entry == aEntry && aDisturbance.begin <= aTo &&
           aDisturbance.end > aFrom;
  });
}

bool
VersionLimitCheck::IsTooLate(const adapter::WorkStart& aStart,
                             std::size_t aEntry) const
{
  const auto* next = FindNext(aStart.version);
  auto soundSince = FindSoundSince(aStart.at);
  return aStart.version > 0 && next != nullptr && soundSince &&
         aStart.at - std::max(next->at, *soundSince) > kBound &&
         IsStable(aEntry, aStart.at);
}

std::string
VersionLimitCheck::Describe(const adapter::WorkStart& aStart,
                            std::size_t aEntry,
                            const std::string& aEngine) const
{
  const auto* next = FindNext(aStart.version);
  return "began on version " + std::to_string(aStart.version) + " " +
         std::to_string((aStart.at - next->at).value) + " ms after version " +
         std::to_string(next->version) + " was named: " + aStart.attempt +
         ", entry " + std::to_string(aEntry) + ", engine " + aEngine;
}

bool
VersionLimitCheck::IsExposed(const Naming& aNaming,
                             const std::vector<EngineRecords>& aEngines) const
{
  bool isSuspended =
    std::ranges::any_of(disturbances_, [&](const auto& aDisturbance) {
      return aDisturbance.isSuspension && aDisturbance.begin <= aNaming.at &&
             aDisturbance.end > aNaming.at;
    });
  auto boundAt = aNaming.at + kBound;
  auto soundSince = FindSoundSince(boundAt);
  return isSuspended && soundSince && *soundSince < aNaming.at &&
         std::ranges::any_of(aEngines, [&](const EngineRecords& aEngine) {
           auto version = FindVersionAt(aEngine.loads, boundAt);
           return version > 0 && version < aNaming.version;
         });
}

int
VersionLimitCheck::CountExposedNamings(
  const std::vector<EngineRecords>& aEngines) const
{
  return static_cast<int>(
    std::ranges::count_if(namings_, [&](const Naming& aNaming) {
      return IsExposed(aNaming, aEngines);
    }));
}

} // namespace waxwingyoke::soak
