#ifndef waxwingyoke_profiles_Publisher_h
#define waxwingyoke_profiles_Publisher_h

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <platform/LogClient.h>
#include <profiles/Preview.h>
#include <profiles/Replay.h>

namespace waxwingyoke::profiles {

/** What became of a change that was sent to the log. */
struct PublishResult
{
  enum class Kind
  {
    /** In the log as `revision`; it never reverts. */
    Accepted,
    /** Refused by the fold: `revision` by `author` stands in the way. */
    Conflict,
    /** It may or may not stand in the log: ask again with `id`. */
    Unknown
  };
  Kind kind = Kind::Unknown;
  std::uint64_t revision = 0;
  std::string author;
  /** Wanted against what is in force, a line for each field; or why not. */
  std::string difference;
  std::string id;
};

/**
 * Publishes changes and reads back what became of them. For one fiber.
 */
class Publisher
{
public:
  explicit Publisher(platform::LogClient& aLog);

  /**
   * Appends a change and folds the log until the change is decided. An
   * empty aId stands for a new one; one from an earlier Unknown asks what
   * became of it and appends it again only where it is not in the log.
   * Empty: it is certain that nothing was appended.
   */
  std::optional<PublishResult> Publish(const schema::ProfileChange& aChange,
                                       const std::string& aId,
                                       utils::Error& aReason);

  /** What the change would do now; nothing is appended. */
  std::optional<Preview> Try(const schema::ProfileChange& aChange,
                             const schema::VmList& aVms,
                             utils::Error& aReason);

  /** What is in force at the log's end. */
  std::optional<Config> ReadConfig(utils::Error& aReason);

  /**
   * Begins anew, with no profile, where the log has lost the state: its
   * beginning is gone and it holds no snapshot. Refused (Conflict) else.
   */
  bool StartOver(utils::Error& aReason);

private:
  bool ReadToEnd(utils::Error& aReason);
  bool Append(const std::string& aPayload,
              const std::string& aId,
              utils::Error& aReason);
  std::optional<PublishResult> Find(const schema::ProfileChange& aChange,
                                    const std::string& aId) const;

  platform::LogClient& log_;
  utils::Clock clock_;
  Replay replay_;
  /** What each id came to, the first time that it was folded. */
  std::map<std::string, FoldResult> decided_;
};

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Publisher_h
