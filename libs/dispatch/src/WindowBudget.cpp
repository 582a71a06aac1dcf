#include <dispatch/WindowBudget.h>

#include <algorithm>
#include <numeric>

namespace waxwingyoke::dispatch {

namespace {

constexpr std::int64_t kSlices = 10;

} // namespace

WindowBudget::Slice&
WindowBudget::GetCurrentSlice(utils::Millis aNow)
{
  auto width = std::max(limits_.window / kSlices, utils::Millis(1));
  while (!slices_.empty() &&
         aNow - slices_.front().begin > limits_.window + width) {
    slices_.pop_front();
  }
  if (slices_.empty() || aNow - slices_.back().begin >= width) {
    slices_.push_back({ aNow, 0, 0 });
  }
  return slices_.back();
}

void
WindowBudget::RecordFirstSend(utils::Millis aNow)
{
  GetCurrentSlice(aNow).firstSends += 1;
}

bool
WindowBudget::Take(utils::Millis aNow)
{
  auto& current = GetCurrentSlice(aNow);
  Slice sum = std::accumulate(slices_.begin(),
                              slices_.end(),
                              Slice(),
                              [](Slice aSum, const Slice& aSlice) {
                                aSum.firstSends += aSlice.firstSends;
                                aSum.resends += aSlice.resends;
                                return aSum;
                              });
  if (sum.resends + 1 > limits_.ratio * sum.firstSends + limits_.slack) {
    return false;
  }
  current.resends += 1;
  return true;
}

} // namespace waxwingyoke::dispatch
