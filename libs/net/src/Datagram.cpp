#include <net/Datagram.h>

#include <array>
#include <utility>

#include <boost/asio/ip/udp.hpp>

#include "Await.h"
#include "RuntimeImpl.h"

namespace waxwingyoke::net {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr utils::Millis kPauseAfterError(50);

Endpoint
MakeEndpoint(const Udp::endpoint& aNative)
{
  return { aNative.address().to_string(), aNative.port() };
}

} // namespace

struct DatagramSocket::Impl
{
  explicit Impl(asio::io_context& aIo)
    : socket(aIo)
  {
  }

  void ReceiveLoop();

  Udp::socket socket;
  Handler handler;
  bool closing = false;
};

void
DatagramSocket::Impl::ReceiveLoop()
{
  std::array<char, kMaxBytes> buffer{};
  Udp::endpoint from;
  while (!closing) {
    auto result = Await([&](auto aHandler) {
      socket.async_receive_from(
        asio::buffer(buffer), from, std::move(aHandler));
    });
    if (closing) {
      break;
    }
    // A refusal of an earlier datagram by its peer is reported here. The pause
    // keeps the loop from spinning on such errors.
    if (result.error) {
      Runtime::Sleep(kPauseAfterError);
      continue;
    }
    handler(MakeEndpoint(from), { buffer.data(), result.bytes });
  }
}

std::unique_ptr<DatagramSocket>
DatagramSocket::Open(Runtime& aRuntime,
                     const Endpoint& aEndpoint,
                     Handler aHandler,
                     utils::Error& aReason)
{
  auto& io = aRuntime.GetImpl().PickLoop().io;
  auto impl = std::make_shared<Impl>(io);
  impl->handler = std::move(aHandler);
  boost::system::error_code error;
  auto address = asio::ip::make_address(aEndpoint.address, error);
  if (!error) {
    Udp::endpoint native(address, aEndpoint.port);
    impl->socket.open(native.protocol(), error);
    if (!error) {
      impl->socket.bind(native, error);
    }
    if (!error) {
      impl->socket.non_blocking(true, error);
    }
  }
  if (error) {
    aReason.Set(utils::ErrorKind::BadSettings,
                "cannot receive on " + aEndpoint.ToString() + ": " +
                  error.message());
    return nullptr;
  }
  SpawnOn(io, [impl] { impl->ReceiveLoop(); });
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(impl)));
}

DatagramSocket::DatagramSocket(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

DatagramSocket::~DatagramSocket()
{
  impl_->closing = true;
  boost::system::error_code ignored;
  impl_->socket.close(ignored);
}

bool
DatagramSocket::Send(const Endpoint& aPeer, std::string_view aBytes)
{
  boost::system::error_code error;
  auto address = asio::ip::make_address(aPeer.address, error);
  if (error) {
    return false;
  }
  impl_->socket.send_to(asio::buffer(aBytes.data(), aBytes.size()),
                        Udp::endpoint(address, aPeer.port),
                        0,
                        error);
  return !error;
}

} // namespace waxwingyoke::net
