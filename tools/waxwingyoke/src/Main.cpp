// waxwingyoke: the operators' tool.

#include <CLI/CLI.hpp>

#include "Commands.h"

int
main(int aCount, char** aArguments)
{
  using namespace waxwingyoke;
  CLI::App app{
    "Publishes, changes and retires profiles and tells what is in force.\n"
    "Exit codes: 0 done, 1 internal, 2 bad input or settings, 3 not allowed,\n"
    "4 not found, 5 conflict, 7 try again later, 8 timed out, 9 a connection\n"
    "or an upstream failed, 10 outcome unknown: ask again, 11 the log or the\n"
    "store is not available."
  };
  tool::Context context;
  app.add_option("--settings", context.settingsFile, "TOML file of the tool")
    ->envname("WAXWINGYOKE_SETTINGS")
    ->capture_default_str();
  app.add_flag("--json", context.json, "print data as JSON");
  app.require_subcommand(1);
  app.fallthrough();
  tool::AddProfileCommands(app, context);
  tool::AddStatusCommand(app, context);
  tool::AddRolloutCommands(app, context);
  tool::AddQuarantineCommands(app, context);
  tool::AddSettingsCommands(app, context);
  CLI11_PARSE(app, aCount, aArguments);
  return context.run();
}
