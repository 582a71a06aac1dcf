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
#include "StatusCommand.h"

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
  bool dryRun = false;
  bool wait = false;
  std::int64_t waitMs = 16000;
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

// A profile that was retired is published anew over its retirement; one that
// is in force is left to conflict.
bool
FillInRetirement(profiles::Publisher& aPublisher,
                 schema::ProfileChange& aChange,
                 utils::Error& aReason)
{
  auto config = aPublisher.ReadConfig(aReason);
  if (!config) {
    return false;
  }
  const auto& name = aChange.profile().name();
  if (config->FindProfile(name) == nullptr) {
    aChange.set_replaces_revision(config->GetRevision(name));
  }
  return true;
}

// A change without --replaces replaces what is in force now.
bool
FillInReplaces(profiles::Publisher& aPublisher,
               const Arguments& aArguments,
               schema::ProfileChange& aChange,
               utils::Error& aReason)
{
  if (aChange.kind() == schema::PUBLISH) {
    return FillInRetirement(aPublisher, aChange, aReason);
  }
  aChange.set_replaces_revision(aArguments.replaces);
  if (aArguments.replaces != 0) {
    return true;
  }
  auto config = aPublisher.ReadConfig(aReason);
  if (!config) {
    return false;
  }
  const auto* profile = config->FindProfile(aChange.profile().name());
  if (profile == nullptr) {
    aReason.Set(ErrorKind::UnknownProfile, aChange.profile().name());
    return false;
  }
  aChange.set_replaces_revision(profile->revision());
  return true;
}

int
TryOut(const Platform& aPlatform,
       profiles::Publisher& aPublisher,
       const schema::ProfileChange& aChange)
{
  utils::Error reason;
  auto vms = aPlatform.vmList.Read(reason);
  if (!vms) {
    return Fail(reason);
  }
  auto preview = aPublisher.PreviewChange(aChange, *vms, reason);
  if (!preview) {
    return Fail(reason);
  }
  std::cout << profiles::Show(*preview);
  return 0;
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
  if (!FillInReplaces(publisher, aArguments, aChange, reason)) {
    return Fail(reason);
  }
  if (aArguments.dryRun) {
    return TryOut(aPlatform, publisher, aChange);
  }
  auto result = publisher.Publish(aChange, aArguments.id, reason);
  if (!result) {
    return Fail(reason);
  }
  auto code = Report(*result, aJson);
  if (code != 0 || !aArguments.wait) {
    return code;
  }
  // A revision is its record's offset + 1, the first offset not folded in.
  return WaitInForce(
    aPlatform, result->revision, utils::Millis(aArguments.waitMs));
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

int
StartOver(const Context& aContext)
{
  return RunOnPlatform(aContext.settingsFile, [](const Platform& aPlatform) {
    utils::Error reason;
    if (!profiles::Publisher(aPlatform.log).StartOver(reason)) {
      return Fail(reason);
    }
    std::cout << "started over; publish the profiles again\n";
    return 0;
  });
}

void
AddSendOptions(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option(
    "--id", aArguments.id, "ask again for a change whose outcome was unknown");
  aCommand.add_flag("--dry-run",
                    aArguments.dryRun,
                    "only show which VMs and requests it would touch");
  aCommand.add_flag(
    "--wait", aArguments.wait, "wait until it is in force, say where not");
  aCommand
    .add_option("--wait-ms", aArguments.waitMs, "how long --wait waits, ms")
    ->capture_default_str();
}

void
AddReplaces(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option("--replaces",
                      aArguments.replaces,
                      "the revision that this replaces; without it the one "
                      "in force now");
}

// A command that sends a TOML file as a change of aKind.
CLI::App*
AddFileCommand(CLI::App& aGroup,
               const std::string& aName,
               const std::string& aHelp,
               schema::ChangeKind aKind,
               Context& aContext,
               const ArgumentsPointer& aArguments)
{
  auto* command = aGroup.add_subcommand(aName, aHelp);
  command->add_option("file", aArguments->file, "TOML file")->required();
  AddSendOptions(*command, *aArguments);
  command->callback([&aContext, aKind, aArguments] {
    aContext.run = [&aContext, aKind, aArguments] {
      return SendFile(aContext, aKind, *aArguments);
    };
  });
  return command;
}

void
AddRetire(CLI::App& aGroup,
          Context& aContext,
          const ArgumentsPointer& aArguments)
{
  auto* retire = aGroup.add_subcommand("retire", "take a profile out of use");
  retire->add_option("name", aArguments->name, "the profile")->required();
  AddSendOptions(*retire, *aArguments);
  AddReplaces(*retire, *aArguments);
  retire->callback([&aContext, aArguments] {
    aContext.run = [&aContext, aArguments] {
      return Retire(aContext, *aArguments);
    };
  });
}

void
AddReaders(CLI::App& aGroup,
           Context& aContext,
           const ArgumentsPointer& aArguments)
{
  auto* show = aGroup.add_subcommand("show", "one profile whole");
  show->add_option("name", aArguments->name, "the profile")->required();
  show->callback([&aContext, aArguments] {
    aContext.run = [&aContext, aArguments] {
      return Show(aContext, *aArguments);
    };
  });

  auto* startOver = aGroup.add_subcommand(
    "start-over",
    "begin with no profile after the log has lost the state for good");
  startOver->callback([&aContext] {
    aContext.run = [&aContext] { return StartOver(aContext); };
  });

  auto* list =
    aGroup.add_subcommand("list", "a line for each profile in force");
  list->callback(
    [&aContext] { aContext.run = [&aContext] { return List(aContext); }; });
}

} // namespace

void
AddProfileCommands(CLI::App& aApp, Context& aContext)
{
  auto arguments = std::make_shared<Arguments>();
  auto* group = aApp.add_subcommand("profile", "publish, change, retire, show");
  group->require_subcommand(1);
  AddFileCommand(*group,
                 "publish",
                 "declare a new profile from a TOML file",
                 schema::PUBLISH,
                 aContext,
                 arguments);
  auto* change = AddFileCommand(*group,
                                "change",
                                "replace a profile from a TOML file",
                                schema::CHANGE,
                                aContext,
                                arguments);
  AddReplaces(*change, *arguments);
  AddRetire(*group, aContext, arguments);
  AddReaders(*group, aContext, arguments);
}

} // namespace waxwingyoke::tool
