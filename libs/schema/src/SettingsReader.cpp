#include <schema/SettingsReader.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <schema/options.pb.h>
#include <toml++/toml.h>

namespace waxwingyoke::schema {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using utils::ErrorKind;

bool
HasRequiredKey(const google::protobuf::Descriptor& aDescriptor)
{
  for (int i = 0; i < aDescriptor.field_count(); ++i) {
    if (aDescriptor.field(i)->options().GetExtension(required)) {
      return true;
    }
  }
  return false;
}

std::string
ListEnumNames(const google::protobuf::EnumDescriptor& aEnum)
{
  std::string names;
  for (int i = 0; i < aEnum.value_count(); ++i) {
    names += (i > 0 ? ", " : "") + aEnum.value(i)->name();
  }
  std::ranges::transform(names, names.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return names;
}

// Fills a message from the tables of a parsed file; stops at the first error.
class SettingsFiller
{
public:
  SettingsFiller(const std::string& aFile, utils::Error& aReason)
    : file_(aFile)
    , reason_(aReason)
  {
  }

  bool FillMessage(const toml::table& aTable, Message& aMessage);

private:
  bool CheckKeys(const toml::table& aTable, const Message& aMessage);
  bool FillField(const toml::table& aTable,
                 Message& aMessage,
                 const FieldDescriptor& aField);
  bool FillAbsentTable(const toml::table& aParent,
                       Message& aMessage,
                       const FieldDescriptor& aField);
  bool FillPreset(const toml::table& aTable,
                  Message& aMessage,
                  const FieldDescriptor& aField);
  bool FillValue(const toml::node& aNode,
                 Message& aMessage,
                 const FieldDescriptor& aField);
  bool FillInteger(const toml::node& aNode,
                   Message& aMessage,
                   const FieldDescriptor& aField);
  bool FillEnum(const toml::node& aNode,
                Message& aMessage,
                const FieldDescriptor& aField);
  bool FillList(const toml::node& aNode,
                Message& aMessage,
                const FieldDescriptor& aField);
  bool FillListItem(const toml::node& aItem,
                    Message& aMessage,
                    const FieldDescriptor& aField);
  bool Fail(const toml::node& aNode, const std::string& aWhat);

  const std::string& file_;
  utils::Error& reason_;
};

bool
SettingsFiller::Fail(const toml::node& aNode, const std::string& aWhat)
{
  std::ostringstream text;
  text << file_ << ":" << aNode.source().begin.line << ": " << aWhat;
  reason_.Set(ErrorKind::BadSettings, text.str());
  return false;
}

bool
SettingsFiller::CheckKeys(const toml::table& aTable, const Message& aMessage)
{
  for (const auto& [key, node] : aTable) {
    std::string name(key.str());
    const auto* field = aMessage.GetDescriptor()->FindFieldByName(name);
    if (field == nullptr || field->options().GetExtension(hidden)) {
      return Fail(node,
                  "unknown key '" + name + "' in " +
                    aMessage.GetDescriptor()->name());
    }
  }
  return true;
}

bool
SettingsFiller::FillMessage(const toml::table& aTable, Message& aMessage)
{
  if (!CheckKeys(aTable, aMessage)) {
    return false;
  }
  const auto& descriptor = *aMessage.GetDescriptor();
  for (int i = 0; i < descriptor.field_count(); ++i) {
    if (!FillField(aTable, aMessage, *descriptor.field(i))) {
      return false;
    }
  }
  return true;
}

bool
SettingsFiller::FillField(const toml::table& aTable,
                          Message& aMessage,
                          const FieldDescriptor& aField)
{
  const auto* node = aTable.get(aField.name());
  if (aField.is_repeated()) {
    return node == nullptr || FillList(*node, aMessage, aField);
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    if (node == nullptr) {
      return FillAbsentTable(aTable, aMessage, aField);
    }
    const auto* table = node->as_table();
    if (table == nullptr) {
      return Fail(*node, "'" + aField.name() + "' must be a table");
    }
    auto* inner = aMessage.GetReflection()->MutableMessage(&aMessage, &aField);
    return FillMessage(*table, *inner);
  }
  if (node == nullptr) {
    return FillPreset(aTable, aMessage, aField);
  }
  return FillValue(*node, aMessage, aField);
}

// A table that has required keys, but is not required itself, may be left out
// and stays unset. A missing table without required keys gets its presets.
bool
SettingsFiller::FillAbsentTable(const toml::table& aParent,
                                Message& aMessage,
                                const FieldDescriptor& aField)
{
  if (aField.options().GetExtension(required)) {
    return Fail(aParent, "missing table '" + aField.name() + "'");
  }
  if (HasRequiredKey(*aField.message_type())) {
    return true;
  }
  auto* inner = aMessage.GetReflection()->MutableMessage(&aMessage, &aField);
  return FillMessage(toml::table{}, *inner);
}

bool
SettingsFiller::FillPreset(const toml::table& aTable,
                           Message& aMessage,
                           const FieldDescriptor& aField)
{
  const auto& options = aField.options();
  if (options.GetExtension(required)) {
    return Fail(aTable, "missing key '" + aField.name() + "'");
  }
  if (!options.HasExtension(preset)) {
    return true;
  }
  const auto& presetText = options.GetExtension(preset);
  const auto* reflection = aMessage.GetReflection();
  switch (aField.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      reflection->SetString(&aMessage, &aField, presetText);
      return true;
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection->SetBool(&aMessage, &aField, presetText == "true");
      return true;
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection->SetUInt32(
        &aMessage, &aField, static_cast<std::uint32_t>(std::stoul(presetText)));
      return true;
    default:
      reflection->SetUInt64(&aMessage, &aField, std::stoull(presetText));
      return true;
  }
}

bool
SettingsFiller::FillValue(const toml::node& aNode,
                          Message& aMessage,
                          const FieldDescriptor& aField)
{
  const auto* reflection = aMessage.GetReflection();
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    auto text = aNode.value_exact<std::string>();
    if (!text) {
      return Fail(aNode, "'" + aField.name() + "' must be a string");
    }
    reflection->SetString(&aMessage, &aField, *text);
    return true;
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    auto flag = aNode.value_exact<bool>();
    if (!flag) {
      return Fail(aNode, "'" + aField.name() + "' must be true or false");
    }
    reflection->SetBool(&aMessage, &aField, *flag);
    return true;
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    return FillEnum(aNode, aMessage, aField);
  }
  return FillInteger(aNode, aMessage, aField);
}

// Enum values are in lower case in files and in upper case in the schema.
bool
SettingsFiller::FillEnum(const toml::node& aNode,
                         Message& aMessage,
                         const FieldDescriptor& aField)
{
  auto name = aNode.value_exact<std::string>().value_or("");
  std::ranges::transform(name, name.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::toupper(aChar));
  });
  const auto* value = aField.enum_type()->FindValueByName(name);
  if (value == nullptr) {
    return Fail(aNode,
                "'" + aField.name() + "' must be one of " +
                  ListEnumNames(*aField.enum_type()));
  }
  aMessage.GetReflection()->SetEnum(&aMessage, &aField, value);
  return true;
}

bool
SettingsFiller::FillList(const toml::node& aNode,
                         Message& aMessage,
                         const FieldDescriptor& aField)
{
  const auto* list = aNode.as_array();
  if (list == nullptr) {
    return Fail(aNode, "'" + aField.name() + "' must be a list");
  }
  return std::ranges::all_of(*list, [&](const toml::node& aItem) {
    return FillListItem(aItem, aMessage, aField);
  });
}

bool
SettingsFiller::FillListItem(const toml::node& aItem,
                             Message& aMessage,
                             const FieldDescriptor& aField)
{
  const auto* reflection = aMessage.GetReflection();
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    const auto* table = aItem.as_table();
    if (table == nullptr) {
      return Fail(aItem, "'" + aField.name() + "' must be a list of tables");
    }
    return FillMessage(*table, *reflection->AddMessage(&aMessage, &aField));
  }
  auto text = aItem.value_exact<std::string>();
  if (!text) {
    return Fail(aItem, "'" + aField.name() + "' must be a list of strings");
  }
  reflection->AddString(&aMessage, &aField, *text);
  return true;
}

bool
SettingsFiller::FillInteger(const toml::node& aNode,
                            Message& aMessage,
                            const FieldDescriptor& aField)
{
  auto number = aNode.value_exact<std::int64_t>();
  if (!number) {
    return Fail(aNode, "'" + aField.name() + "' must be a whole number");
  }
  std::int64_t low = 0;
  std::int64_t high = std::numeric_limits<std::uint32_t>::max();
  if (aField.options().HasExtension(max)) {
    low = aField.options().GetExtension(min);
    high = aField.options().GetExtension(max);
  }
  if (*number < low || *number > high) {
    return Fail(aNode,
                "'" + aField.name() + "' is " + std::to_string(*number) +
                  ", expected " + std::to_string(low) + " to " +
                  std::to_string(high));
  }
  const auto* reflection = aMessage.GetReflection();
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    reflection->SetUInt32(
      &aMessage, &aField, static_cast<std::uint32_t>(*number));
  } else {
    reflection->SetUInt64(
      &aMessage, &aField, static_cast<std::uint64_t>(*number));
  }
  return true;
}

} // namespace

bool
ReadSettings(std::string_view aText,
             const std::string& aFile,
             Message& aSettings,
             utils::Error& aReason)
{
  try {
    auto table = toml::parse(aText, aFile);
    return SettingsFiller(aFile, aReason).FillMessage(table, aSettings);
  } catch (const toml::parse_error& error) {
    std::ostringstream text;
    text << aFile << ":" << error.source().begin.line << ": "
         << error.description();
    aReason.Set(ErrorKind::BadSettings, text.str());
    return false;
  }
}

bool
ReadSettingsFile(const std::string& aFile,
                 Message& aSettings,
                 utils::Error& aReason)
{
  std::ifstream stream(aFile, std::ios::binary);
  if (!stream) {
    aReason.Set(ErrorKind::BadSettings, aFile + ": cannot be opened");
    return false;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ReadSettings(text.str(), aFile, aSettings, aReason);
}

} // namespace waxwingyoke::schema
