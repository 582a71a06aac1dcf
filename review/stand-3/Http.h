#ifndef waxwingyoke_review_stand3_Http_h
#define waxwingyoke_review_stand3_Http_h

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace review {

/** An address on the loopback interface. */
struct Address
{
  std::string host;
  std::uint16_t port = 0;

  std::string ToString() const { return host + ":" + std::to_string(port); }
};

/** Milliseconds of the steady clock. */
std::int64_t
NowMs();

void
SleepMs(std::int64_t aTime);

struct Message
{
  /** The first line's parts: method and target, or the status. */
  std::string method;
  std::string target;
  int status = 0;
  /** Names in lower case; of equal names the last one. */
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Find(const std::string& aName) const;
  /** The value of a parameter of the target's query. */
  std::string FindQuery(const std::string& aName) const;
};

/** A connection with what was read from it beyond the last message. */
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket_(aSocket)
  {
  }
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Null if there is no connection within aTimeout. */
  static std::unique_ptr<Connection> Open(const Address& aPeer,
                                          std::int64_t aTimeout = 1000);

  bool Write(std::string_view aBytes);
  /** Reads one message; false at the end, on an error or after aTimeout. */
  bool Read(Message& aMessage, std::int64_t aTimeout);
  /** Sends a response with a length and keeps the connection. */
  bool Answer(int aStatus, const std::string& aFields, std::string_view aBody);
  /** Whether the peer has closed its direction. */
  bool IsClosedByPeer() const;
  /** What has arrived and belongs to no message that was read. */
  std::string TakeRest(std::int64_t aTimeout);
  int GetSocket() const { return socket_; }

private:
  bool Fill(std::int64_t aUntil);
  bool ReadLine(std::string& aLine, std::int64_t aUntil);
  bool ReadBytes(std::string& aBytes, std::size_t aCount, std::int64_t aUntil);
  bool ReadChunks(std::string& aBody, std::int64_t aUntil);

  int socket_;
  std::string rest_;
};

/** Serves each connection on a thread of its own. */
class Server
{
public:
  using Handler = std::function<void(const Message&, Connection&)>;

  Server(Address aAddress, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** False if the address is in use. */
  bool Start();
  /** Closes the listener and resets all connections, as a killed process. */
  void Crash();

private:
  void AcceptLoop(int aListener);
  void Serve(int aSocket);

  Address address_;
  Handler handler_;
  std::mutex mutex_;
  std::set<int> sockets_;
  int listener_ = -1;
  std::atomic<int> threads_{ 0 };
};

} // namespace review

#endif // waxwingyoke_review_stand3_Http_h
