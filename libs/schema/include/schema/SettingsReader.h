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
 * Reads TOML text into a settings message and fills in presets.
 *
 * An unknown key, a wrong type, a value out of range or a required key that
 * is missing is an error (BadSettings) that names aFile, the line and what
 * was expected.
 */
bool
ReadSettings(std::string_view aText,
             const std::string& aFile,
             google::protobuf::Message& aSettings,
             utils::Error& aReason);

/** ReadSettings on the content of a file. */
bool
ReadSettingsFile(const std::string& aFile,
                 google::protobuf::Message& aSettings,
                 utils::Error& aReason);

/** The reference page of a settings message, in Markdown. */
std::string
MakeSettingsReference(const google::protobuf::Descriptor& aDescriptor);

} // namespace waxwingyoke::schema

#endif // waxwingyoke_schema_SettingsReader_h
