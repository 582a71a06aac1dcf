#ifndef waxwingyoke_requests_Fingerprints_h
#define waxwingyoke_requests_Fingerprints_h

#include <string>
#include <string_view>

namespace waxwingyoke::requests {

/** Checks that all of an engine's answer names one version as its maker. */
class Fingerprints
{
public:
  explicit Fingerprints(std::string aVersion);

  /** False if aPart, with what came before, names another version. */
  bool Check(std::string_view aPart);

private:
  std::string version_;
  std::string tail_;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Fingerprints_h
