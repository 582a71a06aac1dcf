#ifndef waxwingyoke_weights_UploadLimit_h
#define waxwingyoke_weights_UploadLimit_h

#include <unordered_map>

#include <utils/Digest.h>
#include <utils/Time.h>

namespace waxwingyoke::weights {

/**
 * Limits how often a chunk is uploaded, so that the first holder of a rare
 * chunk does not upload it to every side: after two uploads the receivers can
 * upload it as well. Further uploads are let through at an interval, for sides
 * that have not yet received an offer of another holder. Not synchronised.
 */
class UploadLimit
{
public:
  /** Whether an upload of aChunk may begin now; if so, it is counted. */
  bool TryBegin(const utils::Digest& aChunk, utils::Millis aNow);

  /** Records the time that an upload of any chunk took. */
  void End(utils::Millis aTime);

private:
  struct Uploads
  {
    int count = 0;
    utils::Millis last;
  };

  std::unordered_map<utils::Digest, Uploads> uploads_;
  utils::Millis lastUploadTime_{ 500 };
};

} // namespace waxwingyoke::weights

#endif // waxwingyoke_weights_UploadLimit_h
