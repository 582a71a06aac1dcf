#ifndef waxwingyoke_bed_AddressBlock_h
#define waxwingyoke_bed_AddressBlock_h

#include <memory>
#include <string>

#include <utils/Error.h>

namespace waxwingyoke::bed {

/**
 * A /16 of the loopback range that no other bed on the machine uses while
 * this object lives. All ports that a bed listens on lie below the range
 * that the kernel gives to outgoing connections.
 */
class AddressBlock
{
public:
  static std::unique_ptr<AddressBlock> Take(utils::Error& aReason);

  ~AddressBlock();

  AddressBlock(const AddressBlock&) = delete;
  AddressBlock& operator=(const AddressBlock&) = delete;

  /** "127.BLOCK.aThird.aFourth". */
  std::string GetAddress(unsigned aThird, unsigned aFourth) const;

private:
  AddressBlock(int aLock, unsigned aBlock);

  int lock_;
  unsigned block_;
};

} // namespace waxwingyoke::bed

#endif // waxwingyoke_bed_AddressBlock_h
