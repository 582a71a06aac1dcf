#ifndef waxwingyoke_schema_SettingsReader_h
#define waxwingyoke_schema_SettingsReader_h

#include <string>
#include <string_view>

#include <utils/Error.h>

namespace google::protobuf {
class Descriptor;
class Message;
}

namespace waxwingyoke::schema {

/**
 * Parses TOML text into a settings message and fills in presets.
 *
 * An unknown key, a wrong type, a value out of range or a missing required key
 * is an error (BadSettings) that names aFile, the line and the expected value.
 */
bool
ReadSettings(std::string_view aText,
             const std::string& aFile,
             google::protobuf::Message& aSettings,
             utils::Error& aReason);

/** As ReadSettings, for the content of a file. */
bool
ReadSettingsFile(const std::string& aFile,
                 google::protobuf::Message& aSettings,
                 utils::Error& aReason);

/** Returns the reference page of a settings message, in Markdown. */
std::string
MakeSettingsReference(const google::protobuf::Descriptor& aDescriptor);

} // namespace waxwingyoke::schema

#endif // waxwingyoke_schema_SettingsReader_h
