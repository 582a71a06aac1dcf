#include "LinkBytes.h"

#include <sstream>
#include <string>

namespace waxwingyoke::burst {

LinkBytes
ReadLinkBytes(net::HttpClient& aHttp, const net::Endpoint& aProcess)
{
  net::HttpRequest request;
  request.target = "/metrics";
  utils::Error ignored;
  LinkBytes bytes;
  auto response = aHttp.Call(aProcess, request, {}, ignored);
  std::istringstream lines(response ? response->body : "");
  std::string name;
  double value = 0;
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    if (line.starts_with('#') || !(words >> name >> value)) {
      continue;
    }
    auto count = static_cast<std::uint64_t>(value);
    if (name.ends_with("weights_up_bytes_total")) {
      bytes.up += count;
    } else if (name.find("weights_down_") != std::string::npos) {
      bytes.down += count;
      bytes.remote += name.ends_with("remote_bytes_total") ? count : 0;
    }
  }
  return bytes;
}

} // namespace waxwingyoke::burst
