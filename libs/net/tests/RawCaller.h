#ifndef waxwingyoke_net_RawCaller_h
#define waxwingyoke_net_RawCaller_h

#include <cstddef>
#include <optional>
#include <string>

#include <net/Endpoint.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/**
 * A caller's connection whose bytes the test controls. Its reads suspend the
 * calling fiber.
 */
class RawCaller
{
public:
  /** aReceiveBytes is the size of the socket's receive buffer; 0: default. */
  explicit RawCaller(const Endpoint& aPeer, int aReceiveBytes = 0);
  ~RawCaller();
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool IsConnected() const { return connected_; }

  /** Whether the kernel took all bytes. */
  bool Send(const std::string& aBytes);

  /** Ends the sending direction only. */
  void HalfClose();

  /** Whether the server has closed, with nothing left to read. */
  bool IsAtEnd();

  /** All bytes until the server closes, for aTime at most. */
  std::string ReadToEnd(utils::Millis aTime = utils::Millis(2000));

  /** The same until aSize bytes or more are read in all. */
  std::string ReadBytes(std::size_t aSize, utils::Millis aTime);

  /** What has arrived, without waiting; empty at the end of the connection. */
  std::optional<std::string> ReadSome();

  /** Whether the connection ended with a reset. */
  bool IsReset() const { return reset_; }

private:
  int socket_;
  bool connected_ = false;
  bool reset_ = false;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_RawCaller_h
