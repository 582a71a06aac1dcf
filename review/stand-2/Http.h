#ifndef waxwingyoke_review_Http_h
#define waxwingyoke_review_Http_h

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// A small blocking HTTP/1.1 server and client for the cases of this review: one
// thread for each connection.

namespace waxwingyoke::review {

using Fields = std::vector<std::pair<std::string, std::string>>;
using Millis = std::chrono::milliseconds;

/** A request or a response. */
struct Message
{
  /** The request line or the status line. */
  std::string start;
  Fields fields;
  std::string body;

  /** Empty if there is no such field. */
  std::string Find(std::string_view aName) const;
  std::string GetMethod() const;
  std::string GetTarget() const;
  std::string GetPath() const;
  /** The value of a query's parameter; empty if it has none. */
  std::string FindQuery(std::string_view aName) const;
  /** 0 if it is no response. */
  int GetStatus() const;
};

/** Reads one message; aBuffer holds what was read beyond it. */
std::optional<Message>
ReadMessage(int aSocket, std::string& aBuffer);

bool
SendAll(int aSocket, std::string_view aBytes);

/** The text of a response with its length. */
std::string
MakeResponse(int aStatus, const Fields& aFields, std::string_view aBody);

/** Connects to an address; -1 if it fails within a second. */
int
Connect(const std::string& aAddress, int aPort);

void
SetReadTimeout(int aSocket, Millis aTime);

/** A connection that a client keeps for several requests. */
class Channel
{
public:
  Channel(std::string aAddress, int aPort);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /** Sends aRequest, on a new connection if there is none. */
  std::optional<Message> Call(std::string_view aRequest, Millis aTimeout);
  void Close();
  bool IsOpen() const { return socket_ >= 0; }

private:
  std::string address_;
  int port_;
  int socket_ = -1;
  std::string buffer_;
};

class Server
{
public:
  /** Answers one request; returns false to close the connection. */
  using Handler = std::function<bool(int aSocket, const Message& aRequest)>;

  Server() = default;
  ~Server() { End(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start(const std::string& aAddress, int aPort, Handler aHandler);
  /** Closes the listener and all connections. Runs at most once. */
  void End();
  bool IsStopped() const { return stopped_; }

private:
  void Accept();
  void Serve(int aSocket);

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_;
  std::set<int> sockets_;
  std::atomic<int> threads_{ 0 };
  std::thread acceptor_;
};

} // namespace waxwingyoke::review

#endif // waxwingyoke_review_Http_h
