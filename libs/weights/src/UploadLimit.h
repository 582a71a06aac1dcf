#ifndef waxwingyoke_weights_UploadLimit_h
#define waxwingyoke_weights_UploadLimit_h

#include <unordered_map>

#include <utils/Digest.h>
#include <utils/Time.h>

namespace waxwingyoke::weights {

/**
 * Keeps the first holder of a rare chunk from giving it to everybody: after
 * two uploads the two that got it can give it as well, and all others are to
 * ask them. Askers that know no other holder are let through in time.
 */
class UploadLimit
{
public:
  /** Whether a upload of aChunk may begin now; counts it. */
  bool Begin(const utils::Digest& aChunk, utils::Millis aNow);

  /** A upload of any chunk took that long. */
  void End(utils::Millis aTime);

private:
  struct Uploads
  {
    int count = 0;
    utils::Millis last;
  };

  std::unordered_map<utils::Digest, Uploads> uploads_;
  utils::Millis usualTime_{ 500 };
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_UploadLimit_h
