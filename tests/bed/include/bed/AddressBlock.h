#ifndef waxwingyoke_bed_AddressBlock_h
#define waxwingyoke_bed_AddressBlock_h

#include <memory>
#include <string>
#include <vector>

#include <utils/Error.h>

namespace waxwingyoke::bed {

/**
 * A /16 block of loopback addresses that no other test bed on the machine
 * uses while this object exists, or a process that was started meanwhile by
 * Process. All ports that a test bed listens on are
 * below the kernel's ephemeral port range, so that outgoing connections
 * cannot occupy them.
 */
class AddressBlock
{
public:
  /** Reserves a block; null, with aReason set, if all blocks are in use. */
  static std::unique_ptr<AddressBlock> Acquire(utils::Error& aReason);

  /**
   * The sockets that reserve the blocks of this process, in ascending order. A
   * child process that inherits one keeps its block reserved.
   */
  static std::vector<int> ListLocks();

  ~AddressBlock();

  AddressBlock(const AddressBlock&) = delete;
  AddressBlock& operator=(const AddressBlock&) = delete;

  /** The address "127.BLOCK.aThird.aFourth". */
  std::string GetAddress(unsigned aThird, unsigned aFourth) const;

private:
  AddressBlock(int aLock, unsigned aBlock);

  int lock_;
  unsigned block_;
};

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_AddressBlock_h
