#include "Commands.h"

#include <algorithm>
#include <iostream>
#include <memory>
#include <set>
#include <string>

#include <CLI/CLI.hpp>
#include <profiles/Publisher.h>
#include <telemetry/Logger.h>
#include <utils/Hash.h>

#include "Output.h"
#include "Platform.h"

namespace waxwingyoke::tool {

namespace {

void
PrintList(const std::set<std::string>& aDigests, bool aJson)
{
  std::string text;
  std::ranges::for_each(aDigests, [&text, aJson](const std::string& aDigest) {
    const char* separator = text.empty() ? "" : ",";
    text += aJson ? separator + telemetry::QuoteJson(aDigest) : aDigest + "\n";
  });
  std::cout << (aJson ? "[" + text + "]\n" : text);
}

int
List(const Platform& aPlatform, bool aJson)
{
  utils::Error reason;
  auto config = profiles::Publisher(aPlatform.log).ReadConfig(reason);
  if (!config) {
    return Fail(reason);
  }
  PrintList(config->quarantine, aJson);
  return 0;
}

// Lifting twice is harmless, so a lost answer is simply asked again.
int
Lift(const Platform& aPlatform, const std::string& aDigest)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& change = *record.mutable_quarantine_change();
  change.set_request_digest(aDigest);
  change.set_lift(true);
  change.set_author(aPlatform.settings.author());
  change.set_reason("lifted by an operator");
  utils::Error reason;
  if (!aPlatform.log.Append(
        platform::kConfigStream, record.SerializeAsString(), reason)) {
    return Fail(reason);
  }
  std::cout << "lifted " << aDigest << "\n";
  return 0;
}

} // namespace

void
AddQuarantineCommands(CLI::App& aApp, Context& aContext)
{
  auto digest = std::make_shared<std::string>();
  auto* group = aApp.add_subcommand(
    "quarantine", "requests refused because they crash their upstreams");
  group->require_subcommand(1);

  auto* list = group->add_subcommand("list", "digests of refused requests");
  list->callback([&aContext] {
    aContext.run = [&aContext] {
      return RunOnPlatform(aContext.settingsFile,
                           [&aContext](const Platform& aPlatform) {
                             return List(aPlatform, aContext.json);
                           });
    };
  });

  auto* lift = group->add_subcommand("lift", "let a request run again");
  lift->add_option("digest", *digest, "as list shows it")->required();
  lift->callback([&aContext, digest] {
    aContext.run = [&aContext, digest] {
      return RunOnPlatform(aContext.settingsFile,
                           [digest](const Platform& aPlatform) {
                             return Lift(aPlatform, *digest);
                           });
    };
  });
}

} // namespace waxwingyoke::tool
