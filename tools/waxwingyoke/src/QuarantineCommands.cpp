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
#include "PlatformClients.h"

namespace waxwingyoke::tool {

namespace {

void
PrintDigests(const std::set<std::string>& aDigests, bool aJson)
{
  std::string text;
  std::ranges::for_each(aDigests, [&text, aJson](const std::string& aDigest) {
    const char* separator = text.empty() ? "" : ",";
    text += aJson ? separator + telemetry::QuoteJson(aDigest) : aDigest + "\n";
  });
  std::cout << (aJson ? "[" + text + "]\n" : text);
}

int
List(const PlatformClients& aClients, bool aJson)
{
  utils::Error reason;
  auto config = profiles::Publisher(aClients.log).ReadConfig(reason);
  if (!config) {
    return Fail(reason);
  }
  PrintDigests(config->quarantine, aJson);
  return 0;
}

// Lifting is idempotent: if the outcome is unknown, the operator runs the
// command again, and no id of the first run is needed.
int
Lift(const PlatformClients& aClients, const std::string& aDigest)
{
  schema::LogRecord record;
  record.set_id(utils::MakeUniqueId());
  auto& change = *record.mutable_quarantine_change();
  change.set_request_digest(aDigest);
  change.set_lift(true);
  change.set_author(aClients.settings.author());
  change.set_reason("lifted by an operator");
  utils::Error reason;
  if (!aClients.log.Append(
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
    "quarantine",
    "show or lift the refusal of requests that crash their upstreams");
  group->require_subcommand(1);

  auto* list =
    group->add_subcommand("list", "print the digests of refused requests");
  list->callback([&aContext] {
    aContext.run = [&aContext] {
      return RunWithPlatformClients(
        aContext.settingsFile, [&aContext](const PlatformClients& aClients) {
          return List(aClients, aContext.json);
        });
    };
  });

  auto* lift =
    group->add_subcommand("lift", "allow a refused request to run again");
  lift->add_option("digest", *digest, "the digest that list prints")
    ->required();
  lift->callback([&aContext, digest] {
    aContext.run = [&aContext, digest] {
      return RunWithPlatformClients(aContext.settingsFile,
                                    [digest](const PlatformClients& aClients) {
                                      return Lift(aClients, *digest);
                                    });
    };
  });
}

} // namespace waxwingyoke::tool
