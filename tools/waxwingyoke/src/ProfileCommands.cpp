#include "Commands.h"

#include <algorithm>
#include <iostream>
#include <memory>

#include <CLI/CLI.hpp>
#include <profiles/Publisher.h>
#include <schema/Json.h>
#include <schema/SettingsReader.h>

#include "Output.h"
#include "PlatformClients.h"
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
PrintResult(const PublishResult& aResult, bool aJson)
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
                 "run the same command again with --id " + aResult.id);
      return Fail(reason);
  }
  return 1;
}

// Lets a publication replace the retirement of a profile of that name. Sets
// nothing if the profile is in force, so that the change conflicts.
bool
SetRetiredRevision(profiles::Publisher& aPublisher,
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

// Sets the revision that the change replaces: --replaces, or without it the
// one in force now.
bool
SetReplacedRevision(profiles::Publisher& aPublisher,
                    const Arguments& aArguments,
                    schema::ProfileChange& aChange,
                    utils::Error& aReason)
{
  if (aChange.kind() == schema::PUBLISH) {
    return SetRetiredRevision(aPublisher, aChange, aReason);
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
PrintPreview(const PlatformClients& aClients,
             profiles::Publisher& aPublisher,
             const schema::ProfileChange& aChange)
{
  utils::Error reason;
  auto vms = aClients.vmList.Read(reason);
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
SubmitChange(const PlatformClients& aClients,
             schema::ProfileChange aChange,
             const Arguments& aArguments,
             bool aJson)
{
  aChange.set_author(aClients.settings.author());
  profiles::Publisher publisher(aClients.log);
  utils::Error reason;
  if (!SetReplacedRevision(publisher, aArguments, aChange, reason)) {
    return Fail(reason);
  }
  if (aArguments.dryRun) {
    return PrintPreview(aClients, publisher, aChange);
  }
  auto result = publisher.Publish(aChange, aArguments.id, reason);
  if (!result) {
    return Fail(reason);
  }
  auto code = PrintResult(*result, aJson);
  if (code != 0 || !aArguments.wait) {
    return code;
  }
  // The revision is also the offset to wait for: it is the record's offset + 1,
  // the first offset not folded in once the record is.
  return WaitInForce(
    aClients, result->revision, utils::Millis(aArguments.waitMs));
}

int
SubmitFile(const Context& aContext,
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
  return RunWithPlatformClients(
    aContext.settingsFile, [&](const PlatformClients& aClients) {
      return SubmitChange(aClients, change, aArguments, aContext.json);
    });
}

int
Retire(const Context& aContext, const Arguments& aArguments)
{
  schema::ProfileChange change;
  change.set_kind(schema::RETIRE);
  change.mutable_profile()->set_name(aArguments.name);
  return RunWithPlatformClients(
    aContext.settingsFile, [&](const PlatformClients& aClients) {
      return SubmitChange(aClients, change, aArguments, aContext.json);
    });
}

void
PrintSummary(const schema::Profile& aProfile)
{
  std::cout << aProfile.name() << "  revision " << aProfile.revision()
            << "  group " << aProfile.vms().group() << "  version "
            << (aProfile.version().empty() ? "-" : aProfile.version()) << "\n";
}

int
List(const Context& aContext)
{
  return RunWithPlatformClients(
    aContext.settingsFile, [&](const PlatformClients& aClients) {
      utils::Error reason;
      auto config = profiles::Publisher(aClients.log).ReadConfig(reason);
      if (!config) {
        return Fail(reason);
      }
      std::ranges::for_each(config->profiles, [&](const auto& aEntry) {
        if (aContext.json) {
          std::cout << schema::ToJson(aEntry.second) << "\n";
        } else {
          PrintSummary(aEntry.second);
        }
      });
      return 0;
    });
}

int
Show(const Context& aContext, const Arguments& aArguments)
{
  return RunWithPlatformClients(
    aContext.settingsFile, [&](const PlatformClients& aClients) {
      utils::Error reason;
      auto config = profiles::Publisher(aClients.log).ReadConfig(reason);
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
  return RunWithPlatformClients(
    aContext.settingsFile, [](const PlatformClients& aClients) {
      utils::Error reason;
      if (!profiles::Publisher(aClients.log).StartOver(reason)) {
        return Fail(reason);
      }
      std::cout << "started over without profiles; publish them again\n";
      return 0;
    });
}

void
AddSubmitOptions(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option(
    "--id",
    aArguments.id,
    "the id printed by a run whose outcome was unknown; the change is then "
    "appended only if the log does not hold it");
  aCommand.add_flag("--dry-run",
                    aArguments.dryRun,
                    "only show which VMs and requests the change would affect");
  aCommand.add_flag(
    "--wait",
    aArguments.wait,
    "wait until the change is in force and list nodes where it is not");
  aCommand.add_option("--wait-ms", aArguments.waitMs, "timeout of --wait, ms")
    ->capture_default_str();
}

void
AddReplacesOption(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand.add_option("--replaces",
                      aArguments.replaces,
                      "the revision that the change replaces; by default the "
                      "one in force now");
}

// Adds a command that submits a TOML file as a change of aKind.
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
  AddSubmitOptions(*command, *aArguments);
  command->callback([&aContext, aKind, aArguments] {
    aContext.run = [&aContext, aKind, aArguments] {
      return SubmitFile(aContext, aKind, *aArguments);
    };
  });
  return command;
}

void
AddRetireCommand(CLI::App& aGroup,
                 Context& aContext,
                 const ArgumentsPointer& aArguments)
{
  auto* retire = aGroup.add_subcommand("retire", "retire a profile");
  retire->add_option("name", aArguments->name, "the profile")->required();
  AddSubmitOptions(*retire, *aArguments);
  AddReplacesOption(*retire, *aArguments);
  retire->callback([&aContext, aArguments] {
    aContext.run = [&aContext, aArguments] {
      return Retire(aContext, *aArguments);
    };
  });
}

void
AddShowListAndStartOver(CLI::App& aGroup,
                        Context& aContext,
                        const ArgumentsPointer& aArguments)
{
  auto* show = aGroup.add_subcommand("show", "print one profile as JSON");
  show->add_option("name", aArguments->name, "the profile")->required();
  show->callback([&aContext, aArguments] {
    aContext.run = [&aContext, aArguments] {
      return Show(aContext, *aArguments);
    };
  });

  auto* startOver = aGroup.add_subcommand(
    "start-over",
    "start without profiles after the log has lost the state permanently");
  startOver->callback([&aContext] {
    aContext.run = [&aContext] { return StartOver(aContext); };
  });

  auto* list =
    aGroup.add_subcommand("list", "print one line for each profile in force");
  list->callback(
    [&aContext] { aContext.run = [&aContext] { return List(aContext); }; });
}

} // namespace

void
AddProfileCommands(CLI::App& aApp, Context& aContext)
{
  auto arguments = std::make_shared<Arguments>();
  auto* group =
    aApp.add_subcommand("profile", "publish, change, retire and show profiles");
  group->require_subcommand(1);
  AddFileCommand(*group,
                 "publish",
                 "publish a new profile from a TOML file",
                 schema::PUBLISH,
                 aContext,
                 arguments);
  auto* change = AddFileCommand(*group,
                                "change",
                                "replace a profile by the one in a TOML file",
                                schema::CHANGE,
                                aContext,
                                arguments);
  AddReplacesOption(*change, *arguments);
  AddRetireCommand(*group, aContext, arguments);
  AddShowListAndStartOver(*group, aContext, arguments);
}

} // namespace waxwingyoke::tool
