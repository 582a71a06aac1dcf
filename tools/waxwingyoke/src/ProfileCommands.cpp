#include "Commands.h"

#include <algorithm>
#include <iostream>
#include <memory>

#include <CLI/CLI.hpp>
#include <profiles/Publisher.h>
#include <schema/Json.h>
#include <schema/SettingsReader.h>

#include "Output.h"
#include "Platform.h"

namespace waxwingyoke::tool {

namespace {

using profiles::PublishResult;
using utils::ErrorKind;

struct Arguments
{
  std::string file;
  std::string name;
  std::string id;
  std::uint64_t replaces = 0;
};

using ArgumentsPointer = std::shared_ptr<Arguments>;

int
Report(const PublishResult& aResult, bool aJson)
{
  if (aJson) {
    std::cout << "{\"id\":\"" << aResult.id
              << "\",\"revision\":" << aResult.revision << ",\"accepted\":"
              << (aResult.kind == PublishResult::Kind::Accepted ? "true"
                                                                : "false")
              << "}\n";
  }
  utils::Error reason;
  switch (aResult.kind) {
    case PublishResult::Kind::Accepted:
      if (!aJson) {
        std::cout << "accepted at revision " << aResult.revision << "\n";
      }
      return 0;
    case PublishResult::Kind::Conflict:
      reason.Set(ErrorKind::Conflict,
                 "revision " + std::to_string(aResult.revision) + " by " +
                   aResult.author + " is in force: " + aResult.difference);
      return Fail(reason);
    case PublishResult::Kind::Unknown:
      reason.Set(ErrorKind::OutcomeUnknown,
                 "ask again with --id " + aResult.id);
      return Fail(reason);
  }
  return 1;
}

int
Send(const Platform& aPlatform,
     schema::ProfileChange aChange,
     const Arguments& aArguments,
     bool aJson)
{
  aChange.set_author(aPlatform.settings.author());
  profiles::Publisher publisher(aPlatform.log);
  utils::Error reason;
  if (aChange.kind() != schema::PUBLISH) {
    aChange.set_replaces_revision(aArguments.replaces);
  }
  if (aChange.kind() != schema::PUBLISH && aArguments.replaces == 0) {
    auto config = publisher.ReadConfig(reason);
    if (!config) {
      return Fail(reason);
    }
    const auto* profile = config->FindProfile(aChange.profile().name());
    if (profile == nullptr) {
      reason.Set(ErrorKind::UnknownProfile, aChange.profile().name());
      return Fail(reason);
    }
    aChange.set_replaces_revision(profile->revision());
  }
  auto result = publisher.Publish(aChange, aArguments.id, reason);
  return result ? Report(*result, aJson) : Fail(reason);
}

int
SendFile(const Context& aContext,
         schema::ChangeKind aKind,
         const Arguments& aArguments)
{
  schema::ProfileChange change;
  change.set_kind(aKind);
  utils::Error reason;
  if (!schema::ReadSettingsFile(
        aArguments.file, *change.mutable_profile(), reason)) {
    return Fail(reason);
  }
  return RunOnPlatform(aContext.settingsFile, [&](const Platform& aPlatform) {
    return Send(aPlatform, change, aArguments, aContext.json);
  });
}

int
Retire(const Context& aContext, const Arguments& aArguments)
{
  schema::ProfileChange change;
  change.set_kind(schema::RETIRE);
  change.mutable_profile()->set_name(aArguments.name);
  return RunOnPlatform(aContext.settingsFile, [&](const Platform& aPlatform) {
    return Send(aPlatform, change, aArguments, aContext.json);
  });
}

void
PrintLine(const schema::Profile& aProfile)
{
  std::cout << aProfile.name() << "  revision " << aProfile.revision()
            << "  group " << aProfile.vms().group() << "  version "
            << (aProfile.version().empty() ? "-" : aProfile.version()) << "\n";
}

int
List(const Context& aContext)
{
  return RunOnPlatform(aContext.settingsFile, [&](const Platform& aPlatform) {
    utils::Error reason;
    auto config = profiles::Publisher(aPlatform.log).ReadConfig(reason);
    if (!config) {
      return Fail(reason);
    }
    std::ranges::for_each(config->profiles, [&](const auto& aEntry) {
      if (aContext.json) {
        std::cout << schema::ToJson(aEntry.second) << "\n";
      } else {
        PrintLine(aEntry.second);
      }
    });
    return 0;
  });
}

int
Show(const Context& aContext, const Arguments& aArguments)
{
  return RunOnPlatform(aContext.settingsFile, [&](const Platform& aPlatform) {
    utils::Error reason;
    auto config = profiles::Publisher(aPlatform.log).ReadConfig(reason);
    if (!config) {
      return Fail(reason);
    }
    const auto* profile = config->FindProfile(aArguments.name);
    if (profile == nullptr) {
      reason.Set(ErrorKind::UnknownProfile, aArguments.name);
      return Fail(reason);
    }
    PrintJson(*profile);
    return 0;
  });
}

void
AddChangeOptions(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option("--replaces",
                      aArguments.replaces,
                      "the revision that this replaces; without it the one "
                      "in force now");
  aCommand.add_option(
    "--id", aArguments.id, "ask again for a change whose outcome was unknown");
}

} // namespace

void
AddProfileCommands(CLI::App& aApp, Context& aContext)
{
  auto arguments = std::make_shared<Arguments>();
  auto* group = aApp.add_subcommand("profile", "publish, change, retire, show");
  group->require_subcommand(1);

  auto* publish =
    group->add_subcommand("publish", "declare a new profile from a TOML file");
  publish->add_option("file", arguments->file, "TOML file")->required();
  publish->add_option(
    "--id", arguments->id, "ask again for a change whose outcome was unknown");
  publish->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return SendFile(aContext, schema::PUBLISH, *arguments);
    };
  });

  auto* change =
    group->add_subcommand("change", "replace a profile from a TOML file");
  change->add_option("file", arguments->file, "TOML file")->required();
  AddChangeOptions(*change, *arguments);
  change->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return SendFile(aContext, schema::CHANGE, *arguments);
    };
  });

  auto* retire = group->add_subcommand("retire", "take a profile out of use");
  retire->add_option("name", arguments->name, "the profile")->required();
  AddChangeOptions(*retire, *arguments);
  retire->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return Retire(aContext, *arguments);
    };
  });

  auto* show = group->add_subcommand("show", "one profile whole");
  show->add_option("name", arguments->name, "the profile")->required();
  show->callback([&aContext, arguments] {
    aContext.run = [&aContext, arguments] {
      return Show(aContext, *arguments);
    };
  });

  auto* list =
    group->add_subcommand("list", "a line for each profile in force");
  list->callback(
    [&aContext] { aContext.run = [&aContext] { return List(aContext); }; });
}

} // namespace waxwingyoke::tool
