// Replays the corpus on a fiber's stack, without a fuzzer.

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <FiberStack.h>

#include "Targets.h"

using namespace waxwingyoke;

namespace {

std::vector<std::filesystem::path>
ListCorpus(const fuzz::Target& aTarget)
{
  std::vector<std::filesystem::path> files;
  auto folder = std::filesystem::path(WAXWINGYOKE_FUZZ_CORPUS) / aTarget.name;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    files.push_back(file.path());
  }
  std::ranges::sort(files);
  return files;
}

std::string
ReadAll(const std::filesystem::path& aFile)
{
  std::ifstream stream(aFile, std::ios::binary);
  return { std::istreambuf_iterator<char>(stream), {} };
}

// A buffer of its own size, so that a sanitizer sees each read beyond it.
void
Run(const fuzz::Target& aTarget, const std::string& aBytes)
{
  std::vector<std::uint8_t> bytes(aBytes.begin(), aBytes.end());
  aTarget.run(bytes.data(), bytes.size());
}

} // namespace

// Guards against input of others that once ended a process.
TEST_CASE("no input of the corpus, complete or cut, ends its decoder")
{
  net::RunOnFiber([] {
    for (const auto& target : fuzz::kTargets) {
      auto files = ListCorpus(target);
      CHECK_MESSAGE(!files.empty(), target.name);
      for (const auto& file : files) {
        INFO(file.string());
        auto bytes = ReadAll(file);
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
          Run(target, bytes.substr(0, size));
        }
      }
    }
  });
}

// Guards against input that ends a decoder other than the one that found it.
TEST_CASE("no decoder ends with the input of another")
{
  net::RunOnFiber([] {
    for (const auto& source : fuzz::kTargets) {
      for (const auto& file : ListCorpus(source)) {
        INFO(file.string());
        auto bytes = ReadAll(file);
        std::ranges::for_each(
          fuzz::kTargets, [&](const auto& aTarget) { Run(aTarget, bytes); });
      }
    }
  });
}
