#ifndef waxwingyoke_fuzz_Targets_h
#define waxwingyoke_fuzz_Targets_h

#include <array>
#include <cstddef>
#include <cstdint>

namespace waxwingyoke::fuzz {

// Each decodes aSize bytes of another writer with one decoder. They abort if
// the decoder returns what its type does not allow.

void
FuzzSettings(const std::uint8_t* aData, std::size_t aSize);
void
FuzzConfiguration(const std::uint8_t* aData, std::size_t aSize);
void
FuzzNamedVersion(const std::uint8_t* aData, std::size_t aSize);
void
FuzzUpstream(const std::uint8_t* aData, std::size_t aSize);
void
FuzzReport(const std::uint8_t* aData, std::size_t aSize);
void
FuzzLogPage(const std::uint8_t* aData, std::size_t aSize);
void
FuzzNewestPage(const std::uint8_t* aData, std::size_t aSize);
void
FuzzPieceList(const std::uint8_t* aData, std::size_t aSize);
void
FuzzPeerNotice(const std::uint8_t* aData, std::size_t aSize);
void
FuzzOperatorRecord(const std::uint8_t* aData, std::size_t aSize);
void
FuzzMember(const std::uint8_t* aData, std::size_t aSize);
void
FuzzRpcRequest(const std::uint8_t* aData, std::size_t aSize);
void
FuzzRpcReply(const std::uint8_t* aData, std::size_t aSize);

struct Target
{
  /** Also the folder of its corpus. */
  const char* name;
  void (*run)(const std::uint8_t* aData, std::size_t aSize);
};

inline constexpr std::array<Target, 13> kTargets{ {
  { "settings", FuzzSettings },
  { "configuration", FuzzConfiguration },
  { "named-version", FuzzNamedVersion },
  { "upstream", FuzzUpstream },
  { "report", FuzzReport },
  { "log-page", FuzzLogPage },
  { "newest-page", FuzzNewestPage },
  { "piece-list", FuzzPieceList },
  { "peer-notice", FuzzPeerNotice },
  { "operator-record", FuzzOperatorRecord },
  { "member", FuzzMember },
  { "rpc-request", FuzzRpcRequest },
  { "rpc-reply", FuzzRpcReply },
} };

} // namespace waxwingyoke::fuzz

#endif // waxwingyoke_fuzz_Targets_h
