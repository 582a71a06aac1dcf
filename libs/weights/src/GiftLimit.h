#ifndef waxwingyoke_weights_GiftLimit_h
#define waxwingyoke_weights_GiftLimit_h

#include <unordered_map>

#include <utils/Digest.h>
#include <utils/Time.h>

namespace waxwingyoke::weights {

/**
 * Keeps the first holder of a rare chunk from giving it to everybody: after
 * two gifts the two that got it can give it as well, and all others are to
 * ask them. Askers that know no other holder are let through in time.
 */
class GiftLimit
{
public:
  /** Whether a gift of aChunk may begin now; counts it. */
  bool Begin(const utils::Digest& aChunk, utils::Millis aNow);

  /** A gift of any chunk took that long. */
  void End(utils::Millis aTime);

private:
  struct Gifts
  {
    int count = 0;
    utils::Millis last;
  };

  std::unordered_map<utils::Digest, Gifts> gifts_;
  utils::Millis usualTime_{ 500 };
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_GiftLimit_h
