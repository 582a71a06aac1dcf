#include <bed/AddressBlock.h>

#include <mutex>
#include <set>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace waxwingyoke::bed {

namespace {

constexpr unsigned kFirstBlock = 100;
constexpr unsigned kBlockCount = 140;
constexpr std::uint16_t kLockPort = 6999;

/** The locks of all AddressBlocks of this process. */
struct Locks
{
  std::mutex mutex;
  std::set<int> sockets;
};

Locks&
GetLocks()
{
  static Locks sLocks;
  return sLocks;
}

// Reserves a block by binding a socket to one port in it, which also works
// between processes. Returns the socket; -1 if the block is in use.
int
LockBlock(unsigned aBlock)
{
  int lock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto text = "127." + std::to_string(aBlock) + ".0.1";
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kLockPort);
  inet_pton(AF_INET, text.c_str(), &address.sin_addr);
  const auto* genericAddress = reinterpret_cast<const sockaddr*>(&address);
  if (bind(lock, genericAddress, sizeof(address)) == 0) {
    return lock;
  }
  close(lock);
  return -1;
}

} // namespace

std::unique_ptr<AddressBlock>
AddressBlock::Acquire(utils::Error& aReason)
{
  auto start = static_cast<unsigned>(getpid());
  for (unsigned i = 0; i < kBlockCount; ++i) {
    auto block = kFirstBlock + (start + i) % kBlockCount;
    int lock = LockBlock(block);
    if (lock >= 0) {
      return std::unique_ptr<AddressBlock>(new AddressBlock(lock, block));
    }
  }
  aReason.Set(utils::ErrorKind::Internal,
              "all loopback address blocks (127.100.0.0/16 to 127.239.0.0/16) "
              "are in use");
  return nullptr;
}

std::vector<int>
AddressBlock::ListLocks()
{
  auto& locks = GetLocks();
  std::scoped_lock guard(locks.mutex);
  return { locks.sockets.begin(), locks.sockets.end() };
}

AddressBlock::AddressBlock(int aLock, unsigned aBlock)
  : lock_(aLock)
  , block_(aBlock)
{
  auto& locks = GetLocks();
  std::scoped_lock guard(locks.mutex);
  locks.sockets.insert(lock_);
}

AddressBlock::~AddressBlock()
{
  auto& locks = GetLocks();
  std::scoped_lock guard(locks.mutex);
  locks.sockets.erase(lock_);
  close(lock_);
}

std::string
AddressBlock::GetAddress(unsigned aThird, unsigned aFourth) const
{
  return "127." + std::to_string(block_) + "." + std::to_string(aThird) + "." +
         std::to_string(aFourth);
}

} // namespace waxwingyoke::bed
