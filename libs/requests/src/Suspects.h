#ifndef waxwingyoke_requests_Suspects_h
#define waxwingyoke_requests_Suspects_h

#include <map>
#include <mutex>
#include <string>

#include <schema/requests.pb.h>
#include <utils/RcuCell.h>
#include <utils/Time.h>

namespace waxwingyoke::requests {

/** What an entry holds against a request. */
enum class Suspicion
{
  None,
  Suspect,
  Convicted
};

/**
 * Digests of requests under which upstreams died. Read on each request
 * without a lock; written once a crash.
 */
class Suspects
{
public:
  Suspicion Find(const std::string& aDigest, utils::Millis aNow) const;

  void Note(const std::string& aDigest,
            schema::Strike aStrike,
            utils::Millis aNow);

  /** It ran to its end, or an operator lifted it. */
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

#endif // waxwingyoke_requests_Suspects_h
