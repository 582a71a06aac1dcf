// A stand-in of a plain runner as a process of its own, which a request whose
// path ends in "poison" crashes once it begins to run it. Appends a line for
// each request that reaches it to a file.

#include <cstdlib>
#include <iostream>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <net/HttpServer.h>
#include <net/Runtime.h>

using namespace waxwingyoke;
using utils::Millis;

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr Millis kWorkTime(60);
constexpr Millis kCrashDelay(20);
constexpr Millis kForever(3600 * 1000);

/** What the arguments name. */
struct Options
{
  std::string id;
  net::Endpoint endpoint;
  std::string file;
};

void
AppendLine(const Options& aOptions, const std::string& aText)
{
  constexpr mode_t kMode = 0644;
  int file = open(aOptions.file.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  auto line = std::to_string(utils::Clock().Now().value) + " " + aOptions.id +
              " " + aText + "\n";
  bool isWritten =
    write(file, line.data(), line.size()) == static_cast<ssize_t>(line.size());
  close(file);
  if (!isWritten) {
    std::abort();
  }
}

void
Handle(const Options& aOptions,
       const net::HttpRequest& aRequest,
       net::ResponseWriter& aWriter)
{
  std::string attempt(aRequest.fields.Find("Waxwingyoke-Attempt-Id"));
  net::HttpResponse response;
  response.fields.Set("Waxwingyoke-Attempt-Id", attempt);
  auto expected = aRequest.fields.Find("Waxwingyoke-Expect-Instance");
  if (!expected.empty() && expected != aOptions.id) {
    response.status = kMisdirected;
    aWriter.Send(response);
    return;
  }
  bool isPoison = aRequest.target.ends_with("poison");
  AppendLine(aOptions, attempt + (isPoison ? " poison" : " sound"));
  if (isPoison) {
    net::Runtime::Sleep(kCrashDelay);
    std::_Exit(EXIT_FAILURE);
  }
  net::Runtime::Sleep(kWorkTime);
  response.status = kOk;
  response.fields.Set("Waxwingyoke-Response-Stamp", "stamp-" + aOptions.id);
  response.body = "by " + aOptions.id;
  aWriter.Send(response);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kArguments = 4;
  auto endpoint =
    aCount == kArguments ? net::Endpoint::Parse(aArguments[2]) : std::nullopt;
  if (!endpoint) {
    std::cerr << "usage: " << aArguments[0] << " ID ENDPOINT FILE\n";
    return EXIT_FAILURE;
  }
  const Options options{ aArguments[1], *endpoint, aArguments[3] };
  net::Runtime runtime(1);
  return runtime.Run([&] {
    utils::Error reason;
    auto server = net::HttpServer::Builder(runtime)
                    .SetEndpoint(options.endpoint)
                    .SetHandler([&](const auto& aRequest, auto& aWriter) {
                      Handle(options, aRequest, aWriter);
                    })
                    .Build(reason);
    if (!server) {
      std::cerr << reason.detail << "\n";
      return EXIT_FAILURE;
    }
    net::Runtime::Sleep(kForever);
    return EXIT_SUCCESS;
  });
}
