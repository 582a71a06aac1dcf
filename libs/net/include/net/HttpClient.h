#ifndef waxwingyoke_net_HttpClient_h
#define waxwingyoke_net_HttpClient_h

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <net/Endpoint.h>
#include <net/Http.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::net {

/** What marks the end of a response's body. */
enum class BodyFraming
{
  Length,
  Chunks,
  /** Only the close of the connection: a truncated body looks complete. */
  Close
};

/** For logs. */
std::string_view
GetName(BodyFraming aFraming);

/** The result of a read from a response's body. */
enum class ReadResult
{
  Data,
  End,
  Failed,
  /** Only from TryRead: nothing has arrived yet. */
  Nothing
};

/**
 * The response to one request, read while it arrives. Destroying it before
 * the end closes the connection, so that the peer stops sending.
 */
class ResponseStream
{
public:
  struct Impl;
  explicit ResponseStream(std::unique_ptr<Impl> aImpl);
  ~ResponseStream();

  int GetStatus() const;
  const HttpFields& GetFields() const;
  BodyFraming GetFraming() const;

  /**
   * Replaces aPart by the next bytes of the body. Fails with TimedOut if
   * nothing arrives within aTimeout, and with ConnectionLost if the body is
   * truncated.
   */
  ReadResult Read(std::string& aPart,
                  utils::Millis aTimeout,
                  utils::Error& aReason);

  /**
   * Like Read, but if nothing arrives within aTimeout, or StopWaiting is
   * called, it returns Nothing and the response can still be read.
   */
  ReadResult TryRead(std::string& aPart,
                     utils::Millis aTimeout,
                     utils::Error& aReason);

  /** Makes a TryRead in which another fiber of this thread waits return. */
  void StopWaiting();

  /** Makes a read in which another fiber of this thread waits fail. */
  void Cancel();

private:
  std::unique_ptr<Impl> impl_;
};

/**
 * Cancels a call from another fiber of the same thread while the call waits
 * for its connection or for the response's header. Does not interrupt the
 * reading of the body; for that, see ResponseStream::Cancel.
 */
class CallCanceller
{
public:
  /** Makes the running call, and each later one, fail. */
  void Cancel();

  bool IsCancelled() const { return cancelled_; }

private:
  friend class HttpClient;

  bool cancelled_ = false;
  std::function<void()> cancelRunning_;
};

/** The request that a response answers, as far as its header states it. */
enum class ResponseOwner
{
  ThisRequest,
  AnotherRequest,
  NotStated
};

/** Limit of a response's body for calls that state none. */
inline constexpr std::size_t kDefaultMaxBodyBytes = 1 << 20;

/** Options of a call other than its timeouts. */
struct CallOptions
{
  /** May be null. Must stay valid until Call or Open returns. */
  CallCanceller* canceller = nullptr;
  /**
   * Reads from a response's fields which request it answers. If empty, every
   * response is accepted. One to another request is discarded, and the next one
   * on the connection is examined. One that states no request is accepted only
   * as the first on a new connection, which is not kept; otherwise the call
   * fails with AnswerBroken, as the response may repeat an earlier one.
   */
  std::function<ResponseOwner(const HttpFields&)> findOwner;
  /**
   * What findOwner recognises the request by. A request is not sent on a
   * connection that has carried one with the same id, whose repeated response
   * would pass as its own.
   */
  std::string requestId;
  /** Whether a GET is retried once if a kept connection was closed. */
  bool retryGet = true;
  /**
   * If set, asked right before the request is written, which may be long after
   * the call began: a connection had to be made, or the process was suspended.
   * If it returns false, the call fails with ConnectFailed. Must not suspend.
   */
  std::function<bool()> mayStillSend;
  /** False for a request whose response can't be told from an earlier one. */
  bool reuseConnection = true;
  /** False for a peer that accepts few connections and that many processes
   * call rarely. */
  bool keepConnection = true;
  /**
   * Set to true if the call fails because the head of the response breaks HTTP:
   * the peer has answered, although not in a usable way. May be null.
   */
  bool* isHeadBroken = nullptr;
  /** A Call whose response's body is larger fails with TooLarge. */
  std::size_t maxBodyBytes = kDefaultMaxBodyBytes;
  /**
   * If set, called if the response's header takes longer than silenceTimeout,
   * then in each silenceInterval; the call goes on. Must not suspend.
   */
  std::function<void()> onSilence;
  utils::Millis silenceTimeout;
  utils::Millis silenceInterval{ 100 };
};

/** The timeouts of a call. */
struct CallTimeouts
{
  utils::Millis connect{ 1000 };
  /** From sending the request to the end of the response's header. */
  utils::Millis head{ 10000 };
  /** For the complete body of a Call. After Open, each Read has its own. */
  utils::Millis body{ 10000 };
};

/**
 * Calls HTTP/1.1 servers over connections that are kept per thread and
 * endpoint. All fibers of a process may share one client.
 *
 * ConnectFailed means that nothing was sent; after ConnectionLost or TimedOut
 * it is unknown whether the request was executed. If the peer has closed a
 * kept connection, a GET is retried once on a new one; no other method is.
 */
class HttpClient
{
public:
  /** Connections are made from aLocalAddress; if empty, the system chooses. */
  explicit HttpClient(std::string aLocalAddress = "");
  ~HttpClient();

  /**
   * Sets how long sent bytes may stay unacknowledged before a connection
   * counts as broken; zero keeps the system's default.
   */
  void SetUnacknowledgedLimit(utils::Millis aTime);

  /** Whether a connection to aPeer can be established within aTimeout. */
  bool CanConnect(const Endpoint& aPeer, utils::Millis aTimeout);

  /**
   * Returns the complete response, whatever its status. Fails with TooLarge
   * if the body exceeds the options' limit, so that no peer can exhaust this
   * process's memory. After the body's timeout it reads on only while bytes are
   * available, then fails with TimedOut.
   */
  std::optional<HttpResponse> Call(const Endpoint& aPeer,
                                   const HttpRequest& aRequest,
                                   const CallTimeouts& aTimeouts,
                                   utils::Error& aReason,
                                   const CallOptions& aOptions = {});

  /** Returns the response once its header has arrived; null on failure. */
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
