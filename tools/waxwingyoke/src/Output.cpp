#include "Output.h"

#include <iostream>

#include <schema/Json.h>

namespace waxwingyoke::tool {

int
Fail(const utils::Error& aReason)
{
  const auto& traits = utils::GetErrorTraits(aReason.kind);
  std::cerr << "waxwingyoke: " << traits.name << ": " << aReason.detail << "\n";
  return traits.exitCode;
}

void
PrintJson(const google::protobuf::Message& aMessage)
{
  std::cout << schema::ToPrettyJson(aMessage) << "\n";
}

} // namespace waxwingyoke::tool
