#ifndef waxwingyoke_waxwingyoke_Commands_h
#define waxwingyoke_waxwingyoke_Commands_h

#include <functional>
#include <string>

// The library's own name for itself.
namespace CLI { // NOLINT(readability-identifier-naming)
class App;
}

namespace waxwingyoke::tool {

/** What all commands share; filled in while the command line is parsed. */
struct Context
{
  std::string settingsFile = "/etc/waxwingyoke/tool.toml";
  bool json = false;
  /** The chosen command; returns the exit code. */
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
