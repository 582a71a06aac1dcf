#ifndef waxwingyoke_net_RawServer_h
#define waxwingyoke_net_RawServer_h

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <net/Endpoint.h>

namespace waxwingyoke::net {

/**
 * Accepts connections one after the other on a thread of its own and sends
 * arbitrary bytes, as a faulty server may.
 */
class RawServer
{
public:
  /** One connection of a client. */
  class Peer
  {
  public:
    explicit Peer(int aSocket)
      : socket_(aSocket)
    {
    }

    /**
     * Reads one request, whose body, if it has one, states its length; false if
     * the client closed.
     */
    bool ReadRequest();
    /** The header of the request that was read last. */
    const std::string& GetRequestHead() const { return head_; }
    bool Send(const std::string& aBytes);
    /** Repeats aBytes until the client closes or kMaxSent bytes are sent. */
    void SendWithoutEnd(const std::string& aBytes);
    /** Closes with a reset, so that the client doesn't see a regular end. */
    void Reset();

  private:
    std::size_t ParseBodyBytes() const;

    int socket_;
    std::string head_;
  };

  static constexpr std::size_t kMaxSent = 64 << 20;

  using Script = std::function<void(Peer& aPeer)>;

  /** Runs aScript for each connection. */
  RawServer(const Endpoint& aEndpoint, Script aScript);
  ~RawServer();

  bool IsListening() const { return listener_ >= 0; }

private:
  void Run();

  int listener_ = -1;
  Script script_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_RawServer_h
