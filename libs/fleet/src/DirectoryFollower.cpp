#include "DirectoryFollower.h"

#include <algorithm>
#include <set>
#include <utility>

#include <utils/Backoff.h>

namespace waxwingyoke::fleet {

namespace {

using platform::Topic;
using utils::Millis;

// A leaving upstream must get no more work two seconds after it said so. One
// entry's reads wait this long for news and tell all others, also that there
// is none.
constexpr Millis kReadWait(700);
// Others read themselves once they have heard nothing for this long, one after
// the other: one read and its notice fit into a step.
constexpr Millis kSilence(900);
constexpr Millis kTurnStep(50);
constexpr Millis kLastTurn(500);
// The last one's turn and some failed reads later, the log is away.
constexpr Millis kLongestSilence(2500);
// What is overdue is removed that often.
constexpr Millis kLook(150);
// Changes in a row are read together.
constexpr Millis kPauseAfterNews(20);
// A lost answer must not cost a leaving upstream's time; doubled with each
// failure in a row, as reads that fail are charged like others.
constexpr Millis kPauseAfterFailure(40);
constexpr Millis kLongestPause(400);
// News that fit into a datagram; more are told in several.
constexpr std::size_t kMaxNewsBytes = 4096;
// Upstreams that live register again within about two seconds of the log's
// return.
constexpr Millis kReturnTime(2500);

} // namespace

DirectoryFollower::DirectoryFollower(platform::KeyedLog& aLog,
                                     const platform::FleetCodecs& aCodecs,
                                     dispatch::UpstreamBook& aBook,
                                     utils::Clock aClock)
  : log_(aLog)
  , codecs_(aCodecs)
  , book_(aBook)
  , clock_(std::move(aClock))
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
  utils::Backoff backoff(kPauseAfterFailure, kLongestPause);
  while (true) {
    auto wait = GetNextTurn() - clock_.Now();
    if (wait > Millis(0)) {
      net::Runtime::Sleep(std::min(wait, kLook));
      RemoveOverdue();
    } else if (Poll(turn_ == 0 ? kReadWait : Millis(0))) {
      backoff.Reset();
      net::Runtime::Sleep(kPauseAfterNews);
    } else {
      net::Runtime::Sleep(backoff.Take());
    }
  }
}

// The first one reads all the time; all do that know of news they missed.
Millis
DirectoryFollower::GetNextTurn() const
{
  if (!confirmedAt_ || missedNews_ || turn_ == 0) {
    return Millis(0);
  }
  auto turn = std::min(kTurnStep * static_cast<std::int64_t>(turn_), kLastTurn);
  return *confirmedAt_ + kSilence + turn;
}

bool
DirectoryFollower::Poll(Millis aWait)
{
  bool answered = started_ ? ReadNews(aWait) : ReadAll();
  if (answered) {
    confirmedAt_ = clock_.Now();
    missedNews_ = false;
  }
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
    // Where others read it all the time, no upstream's entry lapsed.
    if (!othersRead_) {
      patientUntil_ = clock_.Now() + kReturnTime;
    }
    logger_.Info("the directory answers again");
  } else {
    othersRead_ = false;
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
DirectoryFollower::ReadNews(Millis aWait)
{
  utils::Error reason;
  auto from = end_;
  auto page = log_.Read(Topic::Upstreams, from, aWait, reason);
  bool trimmed = !page && reason.kind == utils::ErrorKind::LogTrimmed;
  NoteLog(page.has_value() || trimmed);
  if (trimmed) {
    started_ = false;
    return ReadAll();
  }
  if (!page) {
    return false;
  }
  std::vector<platform::KeyedRecord> changes;
  for (const auto& record : page->records) {
    // Another entry's news may have come while the read waited.
    if (record.offset >= end_ && Apply(record)) {
      changes.push_back(record);
    }
  }
  end_ = std::max(end_, page->end);
  Tell(from, page->end, changes);
  return true;
}

// Each notice says between which offsets there is nothing else, so that
// whoever misses one knows it by the next.
void
DirectoryFollower::Tell(std::uint64_t aFrom,
                        std::uint64_t aEnd,
                        const std::vector<platform::KeyedRecord>& aChanges)
{
  if (!onNews_) {
    return;
  }
  schema::DirectoryNews news;
  news.set_from(aFrom);
  for (const auto& record : aChanges) {
    auto size = news.ByteSizeLong() + record.key.size() + record.value.size();
    if (news.records_size() > 0 && size > kMaxNewsBytes) {
      news.set_end(record.offset);
      onNews_(news);
      news.Clear();
      news.set_from(record.offset);
    }
    auto& row = *news.add_records();
    row.set_key(record.key);
    row.set_value(record.value);
    row.set_offset(record.offset);
    row.set_dropped(record.dropped);
  }
  news.set_end(aEnd);
  onNews_(news);
}

void
DirectoryFollower::TakeNews(const schema::DirectoryNews& aNews)
{
  if (!started_ || aNews.end() < end_) {
    return;
  }
  // All take turns within this time, so the log was away for all.
  if (clock_.Now() - *confirmedAt_ > kLongestSilence) {
    patientUntil_ = clock_.Now() + kReturnTime;
  }
  for (const auto& row : aNews.records()) {
    if (row.offset() >= end_) {
      Apply({ row.key(), row.value(), row.offset(), row.dropped() });
    }
  }
  // With a gap before them they are not all that is new, but true all the
  // same: an entry that the log turns away can't read the rest. It is read, and
  // these again, from where the gap begins.
  bool hasGap = aNews.from() > end_;
  missedNews_ = missedNews_ || hasGap;
  if (!hasGap) {
    end_ = aNews.end();
    othersRead_ = true;
    confirmedAt_ = clock_.Now();
  }
  RemoveOverdue();
  if (onChange_ && aNews.records_size() > 0) {
    onChange_();
  }
}

// False if the record changes nothing, like most heartbeats.
bool
DirectoryFollower::Apply(const platform::KeyedRecord& aRecord)
{
  if (aRecord.dropped) {
    return Remove(aRecord.key, clock_.Now() >= patientUntil_);
  }
  utils::Error reason;
  auto upstream = codecs_.parseUpstream(aRecord.key, aRecord.value, reason);
  if (!upstream) {
    logger_.Report(reason, { { "upstream", aRecord.key } });
    // It names no upstream to use.
    return Remove(aRecord.key, true);
  }
  bool isBack = missing_.erase(aRecord.key) > 0;
  auto known = book_.Find(aRecord.key);
  if (known && known->record == *upstream) {
    return isBack;
  }
  bool changed = !known || known->record.startedMs != upstream->startedMs ||
                 known->record.draining != upstream->draining;
  if (changed) {
    logger_.Info("upstream",
                 { { "id", upstream->id },
                   { "service", upstream->service },
                   { "address", upstream->endpoint.ToString() },
                   { "draining", upstream->draining ? "yes" : "no" } });
  }
  book_.Put(*upstream);
  return true;
}

bool
DirectoryFollower::Remove(const std::string& aId, bool aAtOnce)
{
  if (!book_.Find(aId)) {
    return false;
  }
  missing_.try_emplace(aId, aAtOnce ? clock_.Now() : patientUntil_);
  return true;
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
