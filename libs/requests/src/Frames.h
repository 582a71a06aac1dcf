#ifndef waxwingyoke_requests_Frames_h
#define waxwingyoke_requests_Frames_h

#include <cstddef>
#include <string>
#include <string_view>

#include <schema/requests.pb.h>

namespace waxwingyoke::requests {

/**
 * Header field of POST /attempts with the digest of its body. Without it, an
 * attempt whose id was corrupted in transit would run under an id that no entry
 * queries.
 */
inline constexpr const char* kBodyDigestField = "X-Body-Digest";

/** Size of the largest frame that FrameReader accepts, bytes. */
inline constexpr std::size_t kMaxFrameBytes = 1 << 20;

/** Appends the frame, preceded by its length in four bytes, big-endian. */
void
AppendFrame(const schema::AnswerFrame& aFrame, std::string& aOut);

/** Appends data as frames of limited size; none if it is empty. */
void
AppendData(std::string_view aData, std::string& aOut);

/** The result of FrameReader::Next. */
enum class FrameResult
{
  Frame,
  /** The next frame is not complete yet. */
  NeedMore,
  /** The stream is malformed; nothing more can be read from it. */
  Broken
};

/** Splits a stream of bytes, fed in parts of any size, into frames. */
class FrameReader
{
public:
  void Feed(std::string_view aPart);
  /** Reads the next frame; aFrame is valid only on FrameResult::Frame. */
  FrameResult Next(schema::AnswerFrame& aFrame);

private:
  std::string buffer_;
  std::size_t position_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Frames_h
