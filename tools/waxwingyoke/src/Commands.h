#ifndef waxwingyoke_waxwingyoke_Commands_h
#define waxwingyoke_waxwingyoke_Commands_h

#include <functional>
#include <string>

// The namespace of the CLI11 library.
namespace CLI { // NOLINT(readability-identifier-naming)
class App;
}

namespace waxwingyoke::tool {

/** State that all commands share; filled in by parsing the command line. */
struct Context
{
  std::string settingsFile = "/etc/waxwingyoke/tool.toml";
  /** Print data as JSON. */
  bool json = false;
  /** Runs the chosen command; returns the exit code. */
  std::function<int()> run;
};

void
AddProfileCommands(CLI::App& aApp, Context& aContext);

void
AddQuarantineCommands(CLI::App& aApp, Context& aContext);

void
AddRolloutCommands(CLI::App& aApp, Context& aContext);

void
AddStatusCommand(CLI::App& aApp, Context& aContext);

void
AddSettingsCommands(CLI::App& aApp, Context& aContext);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_Commands_h
