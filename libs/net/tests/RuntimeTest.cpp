#include <doctest/doctest.h>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <net/Runtime.h>

using namespace waxwingyoke;

namespace {

constexpr int kTurns = 40000;
// Long before anything else would wake a thread that has missed a turn.
constexpr utils::Millis kPatience(3000);

/** Two fibers on two threads that wait for each other in turn. */
struct PingPong
{
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable changed;
  int turn = 0;
  int missed = 0;
  int ended = 0;

  void Play(int aSide)
  {
    std::unique_lock lock(mutex);
    while (turn < kTurns) {
      if (turn % 2 == aSide) {
        ++turn;
        changed.notify_all();
        continue;
      }
      auto state = changed.wait_for(lock, kPatience.ToChrono());
      bool isMissed = state == boost::fibers::cv_status::timeout;
      missed += isMissed ? 1 : 0;
    }
    ++ended;
    changed.notify_all();
  }
};

} // namespace

TEST_CASE("a fiber that another thread's fiber wakes runs at once")
{
  PingPong game;
  net::Runtime runtime(2);
  runtime.Run([&] {
    // Two in a row go to two threads.
    runtime.Spawn([&] { game.Play(0); });
    runtime.Spawn([&] { game.Play(1); });
    std::unique_lock lock(game.mutex);
    while (game.ended < 2) {
      game.changed.wait(lock);
    }
    return 0;
  });
  CHECK(game.turn == kTurns);
  CHECK(game.missed == 0);
}
