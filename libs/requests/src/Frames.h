#ifndef waxwingyoke_requests_Frames_h
#define waxwingyoke_requests_Frames_h

#include <cstddef>
#include <string>
#include <string_view>

#include <schema/requests.pb.h>

namespace waxwingyoke::requests {

/** Field of POST /attempts with the digest of its body: a changed id would
 * run under a name that nobody asks about. */
inline constexpr const char* kBodyDigestField = "X-Body-Digest";

/** Longest frame that a reader takes, bytes. */
inline constexpr std::size_t kMaxFrameBytes = 1 << 20;

/** Adds the frame behind its length, four bytes, highest first. */
void
AppendFrame(const schema::AnswerFrame& aFrame, std::string& aOut);

/** Adds data as one or more frames. */
void
AppendData(std::string_view aData, std::string& aOut);

/** What FrameReader::Next found. */
enum class FrameResult
{
  Frame,
  NeedMore,
  Broken
};

/** Cuts a stream of bytes, in parts of any size, into frames. */
class FrameReader
{
public:
  void Feed(std::string_view aPart);
  FrameResult Next(schema::AnswerFrame& aFrame);

private:
  std::string buffer_;
  std::size_t position_ = 0;
};

} // namespace waxwingyoke::requests

#endif // waxwingyoke_requests_Frames_h
