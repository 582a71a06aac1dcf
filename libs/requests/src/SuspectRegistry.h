#ifndef waxwingyoke_requests_SuspectRegistry_h
#define waxwingyoke_requests_SuspectRegistry_h

#include <map>
#include <mutex>
#include <string>

#include <schema/requests.pb.h>
#include <utils/RcuCell.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** Whether a request is suspected of crashing upstreams. */
enum class Suspicion
{
  None,
  /** An upstream crashed while running it; it runs alone among suspects. */
  Suspect,
  /** A second upstream crashed while running it; it is refused. */
  Convicted
};

/**
 * Registry of the digests of requests during which upstreams crashed.
 * Thread-safe: Find runs for each request and takes a lock only after a write;
 * writes happen once per crash and copy all rows.
 */
class SuspectRegistry
{
public:
  /** None if there is no row for the digest or its row has expired. */
  Suspicion Find(const std::string& aDigest, utils::Millis aNow) const;

  /** Records a strike; a STRUCK does not replace a conviction. */
  void RecordStrike(const std::string& aDigest,
                    schema::Strike aStrike,
                    utils::Millis aNow);

  /** Removes the digest, because the request ran without a crash. */
  void Clear(const std::string& aDigest);

private:
  struct Row
  {
    Suspicion suspicion = Suspicion::None;
    utils::Millis until;
  };
  using Rows = std::map<std::string, Row>;

  utils::RcuCell<Rows> rows_;
  std::mutex writeMutex_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_SuspectRegistry_h
