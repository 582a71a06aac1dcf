#include "Frames.h"

#include <algorithm>
#include <cstdint>

namespace waxwingyoke::requests {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kDataBytesPerFrame = 256 * 1024;

void
AppendLength(std::size_t aLength, std::string& aOut)
{
  for (int shift = 24; shift >= 0; shift -= 8) {
    aOut += static_cast<char>(aLength >> shift & 0xff);
  }
}

std::size_t
ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (char byte : aBytes.substr(0, kLengthBytes)) {
    length = length << 8 | static_cast<std::uint8_t>(byte);
  }
  return length;
}

} // namespace

void
AppendFrame(const schema::AnswerFrame& aFrame, std::string& aOut)
{
  AppendLength(aFrame.ByteSizeLong(), aOut);
  aFrame.AppendToString(&aOut);
}

void
AppendData(std::string_view aData, std::string& aOut)
{
  schema::AnswerFrame frame;
  while (!aData.empty()) {
    auto part = aData.substr(0, kDataBytesPerFrame);
    aData.remove_prefix(part.size());
    frame.set_data(part.data(), part.size());
    AppendFrame(frame, aOut);
  }
}

void
FrameReader::Feed(std::string_view aPart)
{
  buffer_.erase(0, position_);
  position_ = 0;
  buffer_ += aPart;
}

FrameResult
FrameReader::Next(schema::AnswerFrame& aFrame)
{
  auto rest = std::string_view(buffer_).substr(position_);
  if (rest.size() < kLengthBytes) {
    return FrameResult::NeedMore;
  }
  auto length = ReadLength(rest);
  if (length > kMaxFrameBytes) {
    return FrameResult::Broken;
  }
  if (rest.size() - kLengthBytes < length) {
    return FrameResult::NeedMore;
  }
  auto body = rest.substr(kLengthBytes, length);
  position_ += kLengthBytes + length;
  bool parsed =
    aFrame.ParseFromArray(body.data(), static_cast<int>(body.size()));
  return parsed ? FrameResult::Frame : FrameResult::Broken;
}

} // namespace waxwingyoke::requests
