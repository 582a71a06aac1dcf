#ifndef waxwingyoke_fleet_EntryRotation_h
#define waxwingyoke_fleet_EntryRotation_h

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "PeerLink.h"

namespace waxwingyoke::fleet {

/** Chooses the entry to ask next for the state of the operator's topic. */
class EntryRotation
{
public:
  using Predicate = std::function<bool(const Peer&)>;

  /**
   * aIsAlive: whether an entry has sent a notice recently. aIsLocal: whether it
   * is in this process's region.
   */
  EntryRotation(Predicate aIsAlive, Predicate aIsLocal)
    : isAlive_(std::move(aIsAlive))
    , isLocal_(std::move(aIsLocal))
  {
  }

  /** Names the VMs of the entries to ask first; empty: any. */
  void SetPreferred(std::vector<std::string> aVms)
  {
    preferredVms_ = std::move(aVms);
  }

  /**
   * The next entry of the own region, mostly a preferred one; any entry if
   * there is none in the region or the last one that was asked didn't answer.
   */
  std::optional<Peer> PickLocal(std::vector<Peer> aEntries);

  /** The next entry of any region. */
  std::optional<Peer> PickAny(std::vector<Peer> aEntries);

  void RecordResult(bool aAnswered) { lastAnswered_ = aAnswered; }

private:
  std::optional<Peer> PickNext(const std::vector<Peer>& aEntries);

  Predicate isAlive_;
  Predicate isLocal_;
  std::vector<std::string> preferredVms_;
  std::size_t next_ = 0;
  bool lastAnswered_ = true;
};

} // namespace waxwingyoke::fleet

#endif // waxwingyoke_fleet_EntryRotation_h
