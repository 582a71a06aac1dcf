#ifndef waxwingyoke_net_HttpClient_h
#define waxwingyoke_net_HttpClient_h

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <net/Endpoint.h>
#include <net/Http.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/** What a read from an answer's body came to. */
enum class ReadResult
{
  Data,
  End,
  Failed
};

/**
 * The answer to one request while it arrives. Destroying it before the end
 * closes the connection, which tells the peer to stop.
 */
class ResponseStream
{
public:
  struct Impl;
  explicit ResponseStream(std::unique_ptr<Impl> aImpl);
  ~ResponseStream();

  int GetStatus() const;
  const HttpFields& GetFields() const;

  /**
   * Replaces aPart by the next bytes. Failed with TimedOut if nothing comes
   * in aTimeout, ConnectionLost if the body is cut.
   */
  ReadResult Read(std::string& aPart,
                  utils::Millis aTimeout,
                  utils::Error& aReason);

  /** Makes a Read that another fiber of this thread waits in fail. */
  void Cancel();

private:
  std::unique_ptr<Impl> impl_;
};

/**
 * Stops a call from another fiber of its thread, also while the call waits
 * for a connection or for the answer's head.
 */
class CallCanceller
{
public:
  /** Makes the call that runs now, and each later one, fail. */
  void Cancel();

  bool IsCancelled() const { return cancelled_; }

private:
  friend class HttpClient;

  bool cancelled_ = false;
  std::function<void()> cancelRunning_;
};

/** What a call does besides waiting. */
struct CallOptions
{
  /** May be null. Must outlive the call of Open. */
  CallCanceller* canceller = nullptr;
  /**
   * Whether an answer belongs to the request; one that doesn't is read and
   * dropped, and the next one on the connection is taken. Empty: all do.
   */
  std::function<bool(const HttpFields&)> accepts;
  /** Whether a GET that meets a closed connection is sent again once. */
  bool repeatGet = true;
  /** False for a peer that many call seldom and that takes few connections. */
  bool keepConnection = true;
};

/** How long a call waits for what. */
struct CallTimeouts
{
  utils::Millis connect{ 1000 };
  /** From sending to the answer's head. */
  utils::Millis head{ 10000 };
  /** Between two parts of the body, or for the whole body of a Call. */
  utils::Millis body{ 10000 };
};

/**
 * Calls HTTP/1.1 servers over connections kept per thread and endpoint.
 * Shared by all fibers of a process.
 *
 * ConnectFailed means that nothing was sent; ConnectionLost and TimedOut
 * leave open whether the request ran. A GET that meets a kept connection
 * which the peer has closed is sent again once on a new one, no other
 * method is.
 */
class HttpClient
{
public:
  /** Above the largest chunk that a manifest may hold. */
  static constexpr std::size_t kMaxBodyBytes = 64 << 20;

  /** aLocalAddress: where connections come from; empty: the system picks. */
  explicit HttpClient(std::string aLocalAddress = "");
  ~HttpClient();

  /**
   * How long sent bytes may stay unacknowledged before a connection counts
   * as broken; zero: as the system has it.
   */
  void SetUnacknowledgedLimit(utils::Millis aTime);

  /** Whether a connection to aPeer can be made now. */
  bool CanConnect(const Endpoint& aPeer, utils::Millis aTimeout);

  /**
   * The whole answer, whatever its status. TooLarge where its body is over
   * kMaxBodyBytes: no peer may fill this process's memory.
   */
  std::optional<HttpResponse> Call(const Endpoint& aPeer,
                                   const HttpRequest& aRequest,
                                   const CallTimeouts& aTimeouts,
                                   utils::Error& aReason,
                                   const CallOptions& aOptions = {});

  /** The answer as it arrives. */
  std::unique_ptr<ResponseStream> Open(const Endpoint& aPeer,
                                       const HttpRequest& aRequest,
                                       const CallTimeouts& aTimeouts,
                                       utils::Error& aReason,
                                       const CallOptions& aOptions = {});

  struct Impl;

private:
  std::unique_ptr<Impl> impl_;
};

} // namespace waxwingyoke::net

#endif // waxwingyoke_net_HttpClient_h
