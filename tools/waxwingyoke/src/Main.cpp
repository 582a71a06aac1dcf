// waxwingyoke: the command-line tool of operators.

#include <CLI/CLI.hpp>

#include "Commands.h"

int
main(int aCount, char** aArguments)
{
  using namespace waxwingyoke;
  CLI::App app{
    "Publishes, changes and retires profiles and shows what is in force.\n"
    "Exit codes: 0 success, 1 internal error, 2 bad input or settings,\n"
    "3 not allowed, 4 not found, 5 conflict, 7 retry later, 8 timed out,\n"
    "9 a connection or an upstream failed, 10 outcome unknown: retry, with\n"
    "the id if one is printed, 11 the log or the store is unavailable."
  };
  tool::Context context;
  app
    .add_option("--settings",
                context.settingsFile,
                "TOML file with the settings of the tool")
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
