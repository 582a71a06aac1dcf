#include <net/HttpServer.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <telemetry/Logger.h>
#include <telemetry/Metrics.h>

#include "Await.h"
#include "AwaitFor.h"
#include "Beast.h"
#include "ConnectionEnds.h"
#include "RuntimeImpl.h"
#include "StreamWriter.h"
#include "Traffic.h"

namespace waxwingyoke::net {

namespace {

using Stream = beast::tcp_stream;

/**
 * A request's body. Unlike http::string_body it reserves nothing when the
 * header has arrived: that is done once there is memory for it.
 */
struct RequestBody
{
  using value_type = std::string;

  static std::uint64_t size(const value_type& aBody) { return aBody.size(); }

  // NOLINTBEGIN(readability-identifier-naming): Beast's parser calls these.
  class reader
  {
  public:
    template<bool kIsRequest, typename Fields>
    reader(http::header<kIsRequest, Fields>&, value_type& aBody)
      : body_(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>&, beast::error_code& aError)
    {
      aError = {};
    }

    template<typename Buffers>
    std::size_t put(const Buffers& aBuffers, beast::error_code& aError)
    {
      aError = {};
      auto before = body_.size();
      for (auto part : beast::buffers_range_ref(aBuffers)) {
        body_.append(static_cast<const char*>(part.data()), part.size());
      }
      return body_.size() - before;
    }

    void finish(beast::error_code& aError) { aError = {}; }

  private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

using Parser = http::request_parser<RequestBody>;

// How long a closing server waits for the first request of a connection that
// was accepted before, and for the next one after a response that promised to
// keep the connection.
constexpr utils::Millis kClosingIdle(1000);

// How much longer than stated a connection stays open, for requests that are
// sent at the end of that time.
constexpr utils::Millis kStatedIdleMargin(500);

// Requests that hold at most this much are not counted against the memory of
// all requests. They are bounded by the number of connections.
constexpr std::size_t kUncountedBytes = 4096;

// How long a request waits for memory that others hold. Callers give up on a
// request that is not read for longer.
constexpr utils::Millis kMemoryWait(1000);

// Intervals in which a request that waits for memory checks whether there is
// any, and one that waits for its next bytes whether it has to give way.
constexpr utils::Millis kMemoryPoll(20);
constexpr utils::Millis kGiveWayPoll(250);

constexpr std::size_t kMaxReadBytes = 64 * 1024;

// The refusal of a caller for lack of memory or connections, both of which
// become free soon.
constexpr int kUnavailableStatus = 503;
constexpr const char* kRetryAfterSeconds = "1";

// Connections that are refused with a response at the same time.
constexpr std::size_t kMaxRefusals = 256;

/** The end of a wait for a caller's next request. */
enum class Wait
{
  Arrived,
  Expired,
  Cancelled,
  PeerClosed
};

/** How a connection goes on after a request. */
enum class Next
{
  Request,
  Close,
  /** Close as no request arrived in time or before the server's close. */
  CloseIdle,
  /** Close after a refusal, to which the caller may still be sending. */
  DiscardAndClose
};

/** What a connection's requests so far mean for its next one. */
struct History
{
  bool isFirst = true;
  /** The idle time that the last response stated; 0 if it stated none. */
  utils::Millis statedIdle{ 0 };
};

/** The time in which a request's header, or its body, has to arrive. */
struct ReadPhase
{
  /** At its start; a longer one that is in force later counts instead. */
  utils::Millis limit;
  utils::Millis startedAt;
  /** After the limit: bytes that had arrived by then and are not read yet. */
  std::optional<std::size_t> overdueBytes;
};

/** A request while it is read. */
struct IncomingRequest
{
  Parser parser;
  /** Header fields; fields of trailers are not among them. */
  HttpFields fields;
  /** Bytes read so far. */
  std::size_t readBytes = 0;
  /** Exists once the request has to be counted. */
  std::unique_ptr<RequestShare> share;
};

// The error of a request that is refused for lack of memory.
const beast::error_code kNoMemory = asio::error::no_memory;

/**
 * The room that a body needs for the next read. It is announced with the header
 * or grows, by less than that of a string, which doubles.
 */
std::size_t
GetBodyCapacity(IncomingRequest& aIncoming, std::size_t aNextRead)
{
  constexpr std::size_t kGrowthDivisor = 2;
  auto announced = aIncoming.parser.content_length();
  if (announced) {
    return static_cast<std::size_t>(*announced);
  }
  const auto& body = aIncoming.parser.get().body();
  auto next = body.size() + aNextRead;
  return next <= body.capacity()
           ? body.capacity()
           : std::max(next, body.capacity() + body.capacity() / kGrowthDivisor);
}

/** Counts a request as active while it is read and served. */
class ActiveScope
{
public:
  explicit ActiveScope(std::atomic<std::size_t>& aActive)
    : active_(aActive)
  {
    ++active_;
  }
  ~ActiveScope() { --active_; }
  ActiveScope(const ActiveScope&) = delete;
  ActiveScope& operator=(const ActiveScope&) = delete;

private:
  std::atomic<std::size_t>& active_;
};

bool
HasInput(Stream& aStream, const beast::flat_buffer& aBuffer)
{
  beast::error_code ignored;
  return aBuffer.size() > 0 || aStream.socket().available(ignored) > 0;
}

/** Bytes that the caller's kernel has not acknowledged. */
int
CountUnacknowledged(Tcp::socket& aSocket)
{
  int bytes = 0;
  bool known = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known ? bytes : 0;
}

// A close with unread input makes the kernel reset the connection and discard
// what the caller has not received. The input itself stays unread: a request
// that was read and not answered may not be sent again.
void
AwaitAcknowledgement(Tcp::socket& aSocket, utils::Millis aTime)
{
  constexpr utils::Millis kProgressTimeout(2000);
  constexpr utils::Millis kPollInterval(10);
  utils::Clock clock;
  auto end = clock.Now() + aTime;
  auto progressAt = clock.Now();
  auto left = CountUnacknowledged(aSocket);
  while (left > 0 && clock.Now() < end &&
         clock.Now() < progressAt + kProgressTimeout) {
    Runtime::Sleep(kPollInterval);
    auto before = std::exchange(left, CountUnacknowledged(aSocket));
    progressAt = left < before ? clock.Now() : progressAt;
  }
}

// A caller that is still sending reads the refusal afterwards.
void
DiscardInput(Tcp::socket& aSocket)
{
  constexpr utils::Millis kDiscardTime(2000);
  constexpr std::size_t kPartBytes = 16 * 1024;
  constexpr std::size_t kDiscardBytes = 32 << 20;
  utils::Clock clock;
  auto end = clock.Now() + kDiscardTime;
  std::string part(kPartBytes, '\0');
  IoResult result;
  for (std::size_t bytes = 0;
       !result.error && bytes < kDiscardBytes && clock.Now() < end;
       bytes += result.bytes) {
    result = AwaitFor(aSocket, end - clock.Now(), [&](auto aHandler) {
      aSocket.async_read_some(asio::buffer(part), std::move(aHandler));
    });
  }
}

} // namespace

void
ResponseWriter::SetDisconnectHook(std::function<void()> aHook)
{
  // Discards the hook: there is no connection to watch.
  std::exchange(aHook, nullptr);
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(Runtime& aRuntime, Options aOptions)
    : runtime(aRuntime)
    , options(std::move(aOptions))
  {
  }

  bool Bind(utils::Error& aReason);
  void AcceptLoop();
  HttpLimits GetLimits() const;
  void ServeConnection(Stream& aStream);
  /** Waits for the first bytes of the next request. */
  Wait AwaitRequest(Stream& aStream,
                    beast::flat_buffer& aBuffer,
                    const History& aHistory);
  /** How long a connection may wait for its next request. */
  utils::Millis GetIdleLimit(const History& aHistory) const;
  Wait AwaitInput(Stream& aStream,
                  beast::flat_buffer& aBuffer,
                  utils::Millis aTime);
  Next ServeRequest(Stream& aStream,
                    beast::flat_buffer& aBuffer,
                    History& aHistory);
  beast::error_code ReadRequest(Stream& aStream,
                                beast::flat_buffer& aBuffer,
                                const HttpLimits& aLimits,
                                IncomingRequest& aIncoming);
  /** Waits until there is memory for the next read; false: refuse. */
  bool AwaitMemory(Stream& aStream,
                   const beast::flat_buffer& aBuffer,
                   ReadPhase& aPhase,
                   IncomingRequest& aIncoming);
  beast::error_code ReadMore(Stream& aStream,
                             beast::flat_buffer& aBuffer,
                             ReadPhase& aPhase,
                             const RequestShare* aShare);
  /** Runs the handler. An exception is logged and leaves the response as it is.
   */
  void CallHandler(const HttpRequest& aRequest, ResponseWriter& aWriter);
  /** Accepts what arrived before the close, so that it is served. */
  void AcceptPending();
  /** Serves an accepted connection on a fiber of its own. */
  void Serve(std::shared_ptr<Tcp::socket> aSocket, asio::io_context& aIo);
  /** Refuses a connection above the largest number. */
  void RefuseConnection(std::shared_ptr<Tcp::socket> aSocket,
                        asio::io_context& aIo);
  /** Closes so that the caller receives what was sent to it. */
  void CloseGracefully(Stream& aStream, Next aNext);
  Next RunHandler(Stream& aStream,
                  const HttpRequest& aRequest,
                  bool aKeep,
                  History& aHistory);
  /** Responds to a request that could not be read, where a response helps. */
  void Refuse(Stream& aStream,
              beast::error_code aError,
              const EndedRequest& aRequest);
  void Track(Stream& aStream);
  void Untrack(Stream& aStream);

  Runtime& runtime;
  Options options;
  std::unique_ptr<Tcp::acceptor> acceptor;
  asio::io_context* acceptIo = nullptr;
  std::atomic<std::size_t> connections{ 0 };
  /** Connections that are being refused; not among `connections`. */
  std::atomic<std::size_t> refusals{ 0 };
  /** Connections with a request that is being read or served. */
  std::atomic<std::size_t> active{ 0 };
  std::atomic<bool> closing{ false };
  std::mutex mutex;
  // Streams that wait for a request, closed with the server; guarded by mutex.
  std::set<Stream*> idle;
};

bool
HttpServer::Impl::Bind(utils::Error& aReason)
{
  beast::error_code error;
  auto address = asio::ip::make_address(options.endpoint.address, error);
  if (!error) {
    Tcp::endpoint native(address, options.endpoint.port);
    acceptIo = &runtime.GetImpl().PickLoop().io;
    acceptor = std::make_unique<Tcp::acceptor>(*acceptIo);
    acceptor->open(native.protocol(), error);
    if (!error) {
      acceptor->set_option(asio::socket_base::reuse_address(true), error);
      acceptor->bind(native, error);
    }
    if (!error) {
      acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
  }
  if (error) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "cannot listen on " + options.endpoint.ToString() + ": " +
                  error.message());
    return false;
  }
  return true;
}

void
HttpServer::Impl::AcceptLoop()
{
  // Keeps the loop from spinning while no descriptor is free, a state that
  // passes.
  constexpr utils::Millis kPauseAfterError(50);
  auto self = shared_from_this();
  while (!closing) {
    auto& loop = runtime.GetImpl().PickLoop();
    auto socket = std::make_shared<Tcp::socket>(loop.io);
    auto result = Await([&](auto aHandler) {
      acceptor->async_accept(*socket, std::move(aHandler));
    });
    if (result.error == asio::error::operation_aborted) {
      break;
    }
    if (result.error) {
      Runtime::Sleep(kPauseAfterError);
    } else if (connections < options.maxConnections) {
      Serve(socket, loop.io);
    } else if (refusals < kMaxRefusals) {
      RefuseConnection(socket, loop.io);
    } else {
      RecordEnd(ConnectionEnd::TooMany, {});
      socket.reset();
      Runtime::Sleep(kPauseAfterError);
    }
  }
}

// Answers without reading: callers may send the request again elsewhere.
void
HttpServer::Impl::RefuseConnection(std::shared_ptr<Tcp::socket> aSocket,
                                   asio::io_context& aIo)
{
  ++refusals;
  SpawnOn(aIo, [self = shared_from_this(), socket = std::move(aSocket)] {
    RecordEnd(ConnectionEnd::TooMany, {});
    Stream stream(std::move(*socket));
    utils::Error error;
    error.Set(utils::ErrorKind::Overloaded, "too many connections");
    auto response = MakeErrorResponse(error);
    response.status = kUnavailableStatus;
    response.fields.Set("Retry-After", kRetryAfterSeconds);
    StreamWriter writer(
      stream, self->options.writeTimeout, [] { return std::nullopt; });
    writer.Send(response);
    self->CloseGracefully(stream, Next::DiscardAndClose);
    --self->refusals;
  });
}

void
HttpServer::Impl::Serve(std::shared_ptr<Tcp::socket> aSocket,
                        asio::io_context& aIo)
{
  ++connections;
  // Counts as active until its first request is read, so that a stopping
  // process waits for it.
  ++active;
  SpawnOn(aIo, [self = shared_from_this(), socket = std::move(aSocket)] {
    beast::error_code ignored;
    socket->set_option(Tcp::no_delay(true), ignored);
    Stream stream(std::move(*socket));
    self->ServeConnection(stream);
    --self->connections;
  });
}

void
HttpServer::Impl::AcceptPending()
{
  beast::error_code error;
  acceptor->non_blocking(true, error);
  while (!error) {
    auto& loop = runtime.GetImpl().PickLoop();
    auto socket = std::make_shared<Tcp::socket>(loop.io);
    acceptor->accept(*socket, error);
    if (!error) {
      Serve(socket, loop.io);
    }
  }
}

void
HttpServer::Impl::Track(Stream& aStream)
{
  std::scoped_lock lock(mutex);
  idle.insert(&aStream);
}

void
HttpServer::Impl::Untrack(Stream& aStream)
{
  std::scoped_lock lock(mutex);
  idle.erase(&aStream);
}

void
HttpServer::Impl::ServeConnection(Stream& aStream)
{
  beast::flat_buffer buffer;
  // A caller whose connection was accepted just before the close may have sent
  // its request, so the first one is served in any case.
  History history;
  auto next = ServeRequest(aStream, buffer, history);
  --active;
  // After the close no response keeps its connection, so this ends.
  while (next == Next::Request) {
    next = ServeRequest(aStream, buffer, history);
  }
  CloseGracefully(aStream, next);
}

void
HttpServer::Impl::CloseGracefully(Stream& aStream, Next aNext)
{
  auto& socket = aStream.socket();
  if (!socket.is_open()) {
    return;
  }
  // A process that ends closes the connection at once.
  ActiveScope scope(active);
  beast::error_code ignored;
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
  if (aNext == Next::CloseIdle) {
    // A request that crosses the close stays unread, so that its caller may
    // send it again.
    EndedRequest unread;
    unread.unreadBytes = socket.available(ignored);
    RecordEnd(closing ? ConnectionEnd::Shutdown : ConnectionEnd::IdleLimit,
              unread);
  }
  if (aNext == Next::DiscardAndClose) {
    DiscardInput(socket);
  } else if (socket.available(ignored) > 0) {
    AwaitAcknowledgement(socket, options.writeTimeout);
  }
}

HttpLimits
HttpServer::Impl::GetLimits() const
{
  return options.currentLimits ? options.currentLimits() : options.limits;
}

// A limit that is shortened during a response doesn't take back what the
// response has stated.
utils::Millis
HttpServer::Impl::GetIdleLimit(const History& aHistory) const
{
  auto limit = GetLimits().idle;
  return aHistory.statedIdle > utils::Millis(0)
           ? std::max(limit, aHistory.statedIdle + kStatedIdleMargin)
           : limit;
}

// Callers go by the limit in force when they send, so one that was lengthened
// during the wait counts. A shorter one holds from the next wait on.
Wait
HttpServer::Impl::AwaitRequest(Stream& aStream,
                               beast::flat_buffer& aBuffer,
                               const History& aHistory)
{
  utils::Clock clock;
  auto since = clock.Now();
  bool wasClosing = closing;
  // The caller of a response that began before the close may send its next
  // request at that response's end. The process has to run until then.
  std::optional<ActiveScope> scope;
  if (wasClosing) {
    scope.emplace(active);
  }
  auto limit = GetIdleLimit(aHistory);
  auto closingIdle = std::min(limit, kClosingIdle);
  auto wait = AwaitInput(aStream, aBuffer, wasClosing ? closingIdle : limit);
  while (wait == Wait::Expired && !closing) {
    auto left = since + GetIdleLimit(aHistory) - clock.Now();
    if (left <= utils::Millis(0)) {
      break;
    }
    wait = AwaitInput(aStream, aBuffer, left);
  }
  // The close cancelled the wait. A new caller's request may be on its way.
  if (wait == Wait::Cancelled && aHistory.isFirst && !wasClosing) {
    wait = AwaitInput(aStream, aBuffer, closingIdle);
  }
  return wait;
}

// Input that arrived as the wait was cancelled or its time ended counts.
Wait
HttpServer::Impl::AwaitInput(Stream& aStream,
                             beast::flat_buffer& aBuffer,
                             utils::Millis aTime)
{
  constexpr std::size_t kFirstReadBytes = 4096;
  if (aBuffer.size() > 0) {
    return Wait::Arrived;
  }
  auto& socket = aStream.socket();
  Track(aStream);
  auto result = AwaitFor(socket, aTime, [&](auto aHandler) {
    socket.async_read_some(aBuffer.prepare(kFirstReadBytes),
                           std::move(aHandler));
  });
  Untrack(aStream);
  aBuffer.commit(result.bytes);
  bool hasEnded = result.error == beast::error::timeout ||
                  result.error == asio::error::operation_aborted;
  if (!result.error || (hasEnded && HasInput(aStream, aBuffer))) {
    return Wait::Arrived;
  }
  if (!hasEnded) {
    return Wait::PeerClosed;
  }
  return result.error == beast::error::timeout ? Wait::Expired
                                               : Wait::Cancelled;
}

beast::error_code
HttpServer::Impl::ReadRequest(Stream& aStream,
                              beast::flat_buffer& aBuffer,
                              const HttpLimits& aLimits,
                              IncomingRequest& aIncoming)
{
  utils::Clock clock;
  ReadPhase phase{ aLimits.header, clock.Now(), std::nullopt };
  bool inHeader = true;
  auto& parser = aIncoming.parser;
  beast::error_code error;
  parser.eager(true);
  while (!error) {
    auto used = parser.put(aBuffer.data(), error);
    aBuffer.consume(used);
    aIncoming.readBytes += used;
    if (error == http::error::need_more) {
      error = {};
    }
    if (inHeader && parser.is_header_done()) {
      inHeader = false;
      phase = { aLimits.header, clock.Now(), phase.overdueBytes };
      aIncoming.fields = ReadFields(parser.get());
    }
    if (error || parser.is_done()) {
      break;
    }
    // The parser takes trailers, and the line before a chunk, only as a whole.
    if (aBuffer.size() > aLimits.headerBytes) {
      error = http::error::header_limit;
    } else if (!inHeader && !AwaitMemory(aStream, aBuffer, phase, aIncoming)) {
      error = kNoMemory;
    } else {
      error = ReadMore(aStream, aBuffer, phase, aIncoming.share.get());
    }
  }
  return error == asio::error::eof ? http::error::partial_message : error;
}

bool
HttpServer::Impl::AwaitMemory(Stream& aStream,
                              const beast::flat_buffer& aBuffer,
                              ReadPhase& aPhase,
                              IncomingRequest& aIncoming)
{
  static auto& sWaits =
    telemetry::Metrics::Get().GetCounter("http_memory_waits_total");
  auto capacity =
    GetBodyCapacity(aIncoming, beast::read_size(aBuffer, kMaxReadBytes));
  auto needed = aBuffer.capacity() + capacity;
  auto& body = aIncoming.parser.get().body();
  if (!options.memory || needed <= kUncountedBytes) {
    body.reserve(capacity);
    return true;
  }
  utils::Clock clock;
  auto since = clock.Now();
  auto& share = aIncoming.share;
  if (!share) {
    share = std::make_unique<RequestShare>(options.memory, since);
  }
  share->RecordProgress(since);
  bool hasWaited = false;
  while (!share->Resize(needed, clock.Now())) {
    bool isOver = clock.Now() - since >= kMemoryWait || share->MustGiveWay() ||
                  IsClosedByPeer(aStream.socket());
    if (isOver) {
      return false;
    }
    sWaits.Add(std::exchange(hasWaited, true) ? 0 : 1);
    Runtime::Sleep(kMemoryPoll);
  }
  if (hasWaited) {
    // The caller could not send meanwhile.
    share->RecordProgress(clock.Now());
    aPhase.startedAt = aPhase.startedAt + (clock.Now() - since);
  }
  body.reserve(capacity);
  return true;
}

// After the limit it still reads what has arrived by then, so that a stall of
// this process refuses no request that its caller has sent in time.
beast::error_code
HttpServer::Impl::ReadMore(Stream& aStream,
                           beast::flat_buffer& aBuffer,
                           ReadPhase& aPhase,
                           const RequestShare* aShare)
{
  auto& socket = aStream.socket();
  auto getLeft = [this, &aPhase] {
    auto limit = std::max(aPhase.limit, GetLimits().header);
    return aPhase.startedAt + limit - utils::Clock().Now();
  };
  for (auto left = getLeft(); !aPhase.overdueBytes && left > utils::Millis(0);
       left = getLeft()) {
    auto wait = aShare != nullptr ? std::min(left, kGiveWayPoll) : left;
    auto result = AwaitFor(socket, wait, [&](auto aHandler) {
      socket.async_read_some(
        aBuffer.prepare(beast::read_size(aBuffer, kMaxReadBytes)),
        std::move(aHandler));
    });
    aBuffer.commit(result.bytes);
    if (result.error != beast::error::timeout) {
      return result.error;
    }
    if (aShare != nullptr && aShare->MustGiveWay()) {
      return kNoMemory;
    }
  }
  beast::error_code error;
  if (!aPhase.overdueBytes) {
    aPhase.overdueBytes = socket.available(error);
  }
  if (error || *aPhase.overdueBytes == 0) {
    return error ? error : beast::error::timeout;
  }
  auto result = Await([&](auto aHandler) {
    socket.async_read_some(
      aBuffer.prepare(std::min(*aPhase.overdueBytes, kMaxReadBytes)),
      std::move(aHandler));
  });
  aBuffer.commit(result.bytes);
  *aPhase.overdueBytes -= result.bytes;
  return result.error;
}

Next
HttpServer::Impl::ServeRequest(Stream& aStream,
                               beast::flat_buffer& aBuffer,
                               History& aHistory)
{
  auto wait = AwaitRequest(aStream, aBuffer, aHistory);
  if (wait != Wait::Arrived) {
    return wait == Wait::PeerClosed ? Next::Close : Next::CloseIdle;
  }
  ActiveScope scope(active);
  auto limits = GetLimits();
  IncomingRequest incoming;
  auto& parser = incoming.parser;
  parser.body_limit(limits.bodyBytes);
  parser.header_limit(limits.headerBytes);
  auto error = ReadRequest(aStream, aBuffer, limits, incoming);
  Traffic::Get().received.Add(incoming.readBytes);
  if (error) {
    auto target = parser.is_header_done() ? std::string(parser.get().target())
                                          : std::string();
    auto bytes = incoming.readBytes + aBuffer.size();
    // Its memory is of no use while the refusal is written.
    parser.get().body() = {};
    incoming.share.reset();
    aBuffer = {};
    Refuse(aStream, error, { target, bytes, error.message() });
    return Next::DiscardAndClose;
  }
  auto message = parser.release();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.fields = std::move(incoming.fields);
  request.body = std::move(message.body());
  if (incoming.share) {
    incoming.share->Pin();
  }
  return RunHandler(aStream, request, message.keep_alive(), aHistory);
}

Next
HttpServer::Impl::RunHandler(Stream& aStream,
                             const HttpRequest& aRequest,
                             bool aKeep,
                             History& aHistory)
{
  // The server may begin to leave while the handler runs.
  auto getKeepTime = [this, aKeep]() -> std::optional<utils::Millis> {
    if (!aKeep || closing || (options.isLeaving && options.isLeaving())) {
      return std::nullopt;
    }
    return GetLimits().idle;
  };
  StreamWriter writer(aStream, options.writeTimeout, getKeepTime);
  CallHandler(aRequest, writer);
  // The hook belongs to the handler, which has ended.
  writer.EndWatch();
  if (!writer.IsStarted()) {
    utils::Error error;
    error.Set(utils::ErrorKind::Internal, "the handler sent no response");
    writer.Send(MakeErrorResponse(error));
  }
  if (!writer.IsComplete()) {
    auto end = writer.IsPeerDisconnected() && !writer.HasTimedOut()
                 ? ConnectionEnd::PeerClosed
                 : ConnectionEnd::ResponseUnfinished;
    RecordEnd(end,
              { aRequest.target,
                aRequest.body.size(),
                writer.HasTimedOut() ? "the caller does not read" : "" });
    aStream.close();
    return Next::Close;
  }
  aHistory.isFirst = false;
  aHistory.statedIdle = writer.GetStatedKeepTime();
  return writer.KeepsConnection() ? Next::Request : Next::Close;
}

// An exception that left the fiber would end the process and with it the other
// requests that it serves.
void
HttpServer::Impl::CallHandler(const HttpRequest& aRequest,
                              ResponseWriter& aWriter)
{
  static auto& sFailed =
    telemetry::Metrics::Get().GetCounter("http_handler_failures_total");
  static const telemetry::Logger sLogger("http");
  try {
    options.handler(aRequest, aWriter);
  } catch (const std::exception& failure) {
    sFailed.Add();
    sLogger.Warn(
      "a request's handler failed",
      { { "target", aRequest.target }, { "reason", failure.what() } });
  }
}

void
HttpServer::Impl::Refuse(Stream& aStream,
                         beast::error_code aError,
                         const EndedRequest& aRequest)
{
  constexpr int kTimeoutStatus = 408;
  constexpr int kHeaderTooLargeStatus = 431;
  utils::Error error;
  std::optional<int> status;
  auto end = ConnectionEnd::RequestRefused;
  if (aError == http::error::body_limit) {
    error.Set(utils::ErrorKind::TooLarge, aError.message());
  } else if (aError == http::error::header_limit) {
    error.Set(utils::ErrorKind::TooLarge, aError.message());
    status = kHeaderTooLargeStatus;
  } else if (aError == kNoMemory) {
    error.Set(utils::ErrorKind::Overloaded,
              "no memory is left for the request's body");
    status = kUnavailableStatus;
    end = ConnectionEnd::NoMemory;
  } else if (aError == beast::error::timeout) {
    error.Set(utils::ErrorKind::BadRequest,
              "the request did not arrive in time");
    status = kTimeoutStatus;
    end = ConnectionEnd::RequestLate;
  } else if (aError.category() ==
               http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::end_of_stream &&
             aError != http::error::partial_message) {
    error.Set(utils::ErrorKind::BadRequest, aError.message());
  } else {
    RecordEnd(ConnectionEnd::PeerClosed, aRequest);
    return;
  }
  RecordEnd(end, aRequest);
  auto response = MakeErrorResponse(error);
  response.status = status.value_or(response.status);
  if (status == kUnavailableStatus) {
    response.fields.Set("Retry-After", kRetryAfterSeconds);
  }
  StreamWriter writer(
    aStream, options.writeTimeout, [] { return std::nullopt; });
  if (!writer.Send(response)) {
    RecordEnd(ConnectionEnd::RefusalUnwritten, aRequest);
  }
}

HttpServer::HttpServer(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

HttpServer::~HttpServer()
{
  Close();
}

void
HttpServer::Close()
{
  if (impl_->closing.exchange(true)) {
    return;
  }
  asio::post(*impl_->acceptIo, [impl = impl_] {
    beast::error_code ignored;
    impl->AcceptPending();
    impl->acceptor->close(ignored);
  });
  std::scoped_lock lock(impl_->mutex);
  for (auto* stream : impl_->idle) {
    asio::post(stream->get_executor(), [impl = impl_, stream] {
      std::scoped_lock inner(impl->mutex);
      if (impl->idle.contains(stream)) {
        stream->cancel();
      }
    });
  }
}

std::size_t
HttpServer::GetActiveCount() const
{
  return impl_->active;
}

HttpServer::Builder::Builder(Runtime& aRuntime)
  : runtime_(aRuntime)
{
}

HttpServer::Builder&
HttpServer::Builder::SetEndpoint(Endpoint aEndpoint)
{
  options_.endpoint = std::move(aEndpoint);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetHandler(HttpHandler aHandler)
{
  options_.handler = std::move(aHandler);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetMaxBodyBytes(std::size_t aBytes)
{
  options_.limits.bodyBytes = aBytes;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetMemory(std::shared_ptr<RequestMemory> aMemory)
{
  options_.memory = std::move(aMemory);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetMaxConnections(std::size_t aCount)
{
  options_.maxConnections = aCount;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetIdleTimeout(utils::Millis aTime)
{
  options_.limits.idle = aTime;
  options_.limits.header = aTime;
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetCurrentLimits(std::function<HttpLimits()> aLimits)
{
  options_.currentLimits = std::move(aLimits);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetLeaving(std::function<bool()> aIsLeaving)
{
  options_.isLeaving = std::move(aIsLeaving);
  return *this;
}

HttpServer::Builder&
HttpServer::Builder::SetWriteTimeout(utils::Millis aTime)
{
  options_.writeTimeout = aTime;
  return *this;
}

std::unique_ptr<HttpServer>
HttpServer::Builder::Build(utils::Error& aReason)
{
  auto impl = std::make_shared<Impl>(runtime_, options_);
  if (!impl->Bind(aReason)) {
    return nullptr;
  }
  SpawnOn(*impl->acceptIo, [impl] { impl->AcceptLoop(); });
  return std::unique_ptr<HttpServer>(new HttpServer(impl));
}

} // namespace waxwingyoke::net
