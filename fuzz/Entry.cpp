// The entry of libFuzzer; each target is a program of its own.

#include "Targets.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  waxwingyoke::fuzz::WAXWINGYOKE_FUZZ_TARGET(aData, aSize);
  return 0;
}
