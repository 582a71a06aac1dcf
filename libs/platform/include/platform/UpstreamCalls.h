#ifndef waxwingyoke_platform_UpstreamCalls_h
#define waxwingyoke_platform_UpstreamCalls_h

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <net/Endpoint.h>
#include <platform/Upstream.h>
#include <utils/Digest.h>
#include <utils/Error.h>
#include <utils/Time.h>

namespace waxwingyoke::platform {

/** The pieces of one version of a model, in order. */
struct PieceList
{
  std::string model;
  std::uint64_t version = 0;
  std::size_t pieceBytes = 0;
  std::vector<utils::Digest> digests;
};

/**
 * The platform's limit: no weights are loaded from a piece that has been
 * damaged for this long.
 */
inline constexpr utils::Millis kDamageDetectionTime{ 3000 };

/** Some of a model's layers. */
struct LayerRange
{
  std::uint32_t first = 0;
  /** One past the last. */
  std::uint32_t end = 0;

  bool operator==(const LayerRange&) const = default;
};

/**
 * An order to load layers of a version from the staged pieces. The upstream
 * takes the pieces as they are when it accepts the order; it loads those layers
 * that it does not hold of that version, and drops all others.
 */
struct LoadOrder
{
  std::string model;
  std::uint64_t version = 0;
  /**
   * Number of accepted orders in the report that the order was decided on. The
   * upstream refuses the order if another process has ordered since.
   */
  std::uint64_t expectedOrders = 0;
  /**
   * Asked right before the order is sent; if it returns false, the order is
   * withdrawn and fails with ConnectFailed. Must not suspend.
   */
  std::function<bool()> mayStillSend;
  /** Empty: all layers. */
  std::optional<LayerRange> layers{};
};

/** An upstream's reply to an order. */
enum class OrderResult
{
  Begun,
  /** Already in effect, or complete. */
  Done,
  /** The upstream's current state does not allow it. */
  Conflict
};

/**
 * The upstream on this VM: its state, its staging area and load orders. The
 * port that adapters implement.
 */
class LocalUpstream
{
public:
  virtual ~LocalUpstream() = default;

  virtual std::optional<UpstreamReport> GetReport(utils::Error& aReason) = 0;

  /** Numbers of the staged pieces, which may be damaged. */
  virtual std::optional<std::vector<std::uint32_t>> ListStaged(
    const std::string& aModel,
    utils::Error& aReason) = 0;

  /**
   * NotFound where the piece is not staged, TooLarge where it has more than
   * aMaxBytes.
   */
  virtual std::optional<std::string> GetStaged(const std::string& aModel,
                                               std::uint32_t aPiece,
                                               std::size_t aMaxBytes,
                                               utils::Error& aReason) = 0;

  /** Replaces the piece staged under that number. */
  virtual bool PutStaged(const std::string& aModel,
                         std::uint32_t aPiece,
                         const std::string& aBytes,
                         utils::Error& aReason) = 0;

  /** Orders a load; running work ends first. */
  virtual std::optional<OrderResult> OrderLoad(const LoadOrder& aOrder,
                                               utils::Error& aReason) = 0;
};

/**
 * The origin of weights. Pieces may arrive damaged: check their digests. Calls
 * whose answer has more than aMaxBytes fail with TooLarge.
 */
class WeightOrigin
{
public:
  virtual ~WeightOrigin() = default;

  virtual std::optional<PieceList> GetPieceList(const net::Endpoint& aOrigin,
                                                const std::string& aModel,
                                                std::uint64_t aVersion,
                                                std::size_t aMaxBytes,
                                                utils::Error& aReason) = 0;

  virtual std::optional<std::string> GetPiece(const net::Endpoint& aOrigin,
                                              const std::string& aModel,
                                              std::uint64_t aVersion,
                                              std::uint32_t aPiece,
                                              std::size_t aMaxBytes,
                                              utils::Error& aReason) = 0;
};

} // namespace waxwingyoke::platform

#endif // waxwingyoke_platform_UpstreamCalls_h
