#include <doctest/doctest.h>

#include <thread>
#include <vector>

#include <utils/RcuCell.h>

using namespace waxwingyoke::utils;

namespace {

struct Pair
{
  int left = 0;
  int right = 0;
};

} // namespace

// A reader must never combine two writes or, through its thread's cache, see
// an older value after a newer one.
TEST_CASE("readers see complete values in the order of the writes")
{
  constexpr int kWrites = 5000;
  RcuCell<Pair> cell;
  std::vector<std::thread> readers;
  std::atomic<bool> broken{ false };
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      int last = 0;
      while (last < kWrites) {
        auto pair = cell.Get();
        if (pair->left != pair->right || pair->left < last) {
          broken = true;
        }
        last = pair->left;
      }
    });
  }
  for (int i = 1; i <= kWrites; ++i) {
    cell.Set(std::make_shared<const Pair>(Pair{ i, i }));
  }
  for (auto& reader : readers) {
    reader.join();
  }
  CHECK_FALSE(broken);
}
