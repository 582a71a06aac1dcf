#include "DirectoryFollower.h"

#include <algorithm>
#include <set>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

// A leaving upstream must get no more work two seconds after it said so; a
// poll and its repeat fit into that. Longer reads would return for each
// heartbeat of each upstream.
constexpr Millis kPollInterval(700);
// A lost answer must not cost a leaving upstream's time.
constexpr Millis kPauseAfterFailure(40);
// Upstreams that live register again within about two seconds of the log's
// return.
constexpr Millis kReturnTime(2500);

} // namespace

DirectoryFollower::DirectoryFollower(platform::KeyedLog& aLog,
                                     const platform::FleetCodecs& aCodecs,
                                     dispatch::UpstreamBook& aBook)
  : log_(aLog)
  , codecs_(aCodecs)
  , book_(aBook)
{
}

void
DirectoryFollower::Start(net::Runtime& aRuntime,
                         std::function<void()> aOnChange)
{
  onChange_ = std::move(aOnChange);
  aRuntime.Spawn([this] { Loop(); });
}

void
DirectoryFollower::Loop()
{
  while (true) {
    bool answered = Poll();
    net::Runtime::Sleep(answered ? kPollInterval : kPauseAfterFailure);
  }
}

bool
DirectoryFollower::Poll()
{
  bool answered = started_ ? ReadNews() : ReadAll();
  RemoveOverdue();
  if (onChange_) {
    onChange_();
  }
  return answered;
}

void
DirectoryFollower::NoteLog(bool aAnswers)
{
  if (aAnswers == logAnswers_) {
    return;
  }
  logAnswers_ = aAnswers;
  if (aAnswers) {
    patientUntil_ = clock_.Now() + kReturnTime;
    logger_.Info("the directory answers again");
  } else {
    logger_.Warn("the directory does not answer");
  }
}

bool
DirectoryFollower::ReadAll()
{
  utils::Error reason;
  auto page = log_.ReadNewest(Topic::Upstreams, reason);
  NoteLog(page.has_value());
  if (!page) {
    return false;
  }
  std::set<std::string> there;
  for (const auto& record : page->records) {
    Apply(record);
    there.insert(record.key);
  }
  std::ranges::for_each(book_.ListIds(), [&](const std::string& aId) {
    if (!there.contains(aId)) {
      Remove(aId, false);
    }
  });
  end_ = page->end;
  started_ = true;
  return true;
}

bool
DirectoryFollower::ReadNews()
{
  utils::Error reason;
  auto page = log_.Read(Topic::Upstreams, end_, Millis(0), reason);
  bool trimmed = !page && reason.kind == utils::ErrorKind::LogTrimmed;
  NoteLog(page.has_value() || trimmed);
  if (trimmed) {
    started_ = false;
    return ReadAll();
  }
  if (!page) {
    return false;
  }
  std::ranges::for_each(page->records,
                        [this](const auto& aRecord) { Apply(aRecord); });
  end_ = page->end;
  return true;
}

void
DirectoryFollower::Apply(const platform::KeyedRecord& aRecord)
{
  if (aRecord.dropped) {
    Remove(aRecord.key, clock_.Now() >= patientUntil_);
    return;
  }
  utils::Error reason;
  auto upstream = codecs_.parseUpstream(aRecord.key, aRecord.value, reason);
  if (!upstream) {
    logger_.Report(reason, { { "upstream", aRecord.key } });
    // It names no upstream to use.
    Remove(aRecord.key, true);
    return;
  }
  auto known = book_.Find(aRecord.key);
  bool changed = !known || known->record.startedMs != upstream->startedMs ||
                 known->record.draining != upstream->draining;
  if (changed) {
    logger_.Info("upstream",
                 { { "id", upstream->id },
                   { "service", upstream->service },
                   { "address", upstream->endpoint.ToString() },
                   { "draining", upstream->draining ? "yes" : "no" } });
  }
  missing_.erase(aRecord.key);
  book_.Put(*upstream);
}

void
DirectoryFollower::Remove(const std::string& aId, bool aAtOnce)
{
  if (!book_.Find(aId)) {
    return;
  }
  missing_.try_emplace(aId, aAtOnce ? clock_.Now() : patientUntil_);
}

void
DirectoryFollower::RemoveOverdue()
{
  auto now = clock_.Now();
  for (auto row = missing_.begin(); row != missing_.end();) {
    if (now < row->second) {
      ++row;
      continue;
    }
    logger_.Info("upstream gone", { { "id", row->first } });
    book_.Remove(row->first);
    row = missing_.erase(row);
  }
}

} // namespace waxwingyoke::fleet
