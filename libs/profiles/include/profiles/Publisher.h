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

/** The outcome of a change that was sent to the log. */
struct PublishResult
{
  enum class Kind
  {
    /** Accepted as `revision`; this outcome is final. */
    Accepted,
    /** Refused by the fold because of `revision` by `author`. */
    Conflict,
    /** The log may or may not contain it; publish again with `id`. */
    Unknown
  };
  Kind kind = Kind::Unknown;
  std::uint64_t revision = 0;
  std::string author;
  /**
   * For Conflict, the proposed profile against the one in force, a line per
   * field, or the reason of the refusal; for Unknown, the last error.
   */
  std::string difference;
  std::string id;
};

/**
 * Publishes changes to the config stream and reads back their outcome. Must
 * be used by one fiber at a time.
 */
class Publisher
{
public:
  explicit Publisher(platform::LogClient& aLog);

  /**
   * Appends a change and folds the log until the outcome is found. An empty
   * aId makes a new id. With the id of an earlier Unknown result, the outcome
   * is looked up first, and the change is appended again only if it is not in
   * the log. An empty result means that this call appended nothing.
   */
  std::optional<PublishResult> Publish(const schema::ProfileChange& aChange,
                                       const std::string& aId,
                                       utils::Error& aReason);

  /** Returns the effects that the change would have; appends nothing. */
  std::optional<Preview> PreviewChange(const schema::ProfileChange& aChange,
                                       const schema::VmList& aVms,
                                       utils::Error& aReason);

  /** Returns the configuration in force at the end of the log. */
  std::optional<Config> ReadConfig(utils::Error& aReason);

  /**
   * Appends an empty snapshot, so that a log which was trimmed and contains no
   * usable snapshot can be used again. All profiles are lost. Fails with
   * Conflict if the state can still be read from the log.
   */
  bool StartOver(utils::Error& aReason);

private:
  bool ReadToEnd(utils::Error& aReason);
  bool Append(const std::string& aPayload,
              const std::string& aId,
              utils::Error& aReason);
  std::optional<PublishResult> FindResult(const schema::ProfileChange& aChange,
                                          const std::string& aId) const;

  platform::LogClient& log_;
  utils::Clock clock_;
  Replay replay_;
  /** The result of the first record folded with each id. */
  std::map<std::string, FoldResult> resultsById_;
};

} // namespace waxwingyoke::profiles

#endif // waxwingyoke_profiles_Publisher_h
