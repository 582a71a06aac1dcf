#include <schema/SettingsReader.h>

#include <algorithm>
#include <cctype>
#include <sstream>

#include <google/protobuf/descriptor.h>
#include <schema/options.pb.h>

namespace waxwingyoke::schema {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

constexpr const char* kTableHeader =
  "| key | holds | preset | meaning |\n| --- | --- | --- | --- |\n";

bool
IsTable(const FieldDescriptor& aField)
{
  return aField.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
}

std::string
DescribeEnum(const google::protobuf::EnumDescriptor& aEnum)
{
  std::string names;
  for (int i = 0; i < aEnum.value_count(); ++i) {
    names += (i > 0 ? ", `" : "`") + aEnum.value(i)->name() + "`";
  }
  std::ranges::transform(names, names.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return names;
}

std::string
DescribeContent(const FieldDescriptor& aField)
{
  const auto& options = aField.options();
  if (aField.is_repeated()) {
    return "list of strings";
  }
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
    return DescribeEnum(*aField.enum_type());
  }
  if (options.HasExtension(max)) {
    return std::to_string(options.GetExtension(min)) + " to " +
           std::to_string(options.GetExtension(max));
  }
  bool isNumber = aField.cpp_type() == FieldDescriptor::CPPTYPE_UINT32;
  return isNumber ? "whole number" : aField.cpp_type_name();
}

std::string
DescribePreset(const FieldDescriptor& aField)
{
  const auto& options = aField.options();
  if (options.GetExtension(required)) {
    return "required";
  }
  const auto& text = options.GetExtension(preset);
  return text.empty() ? "none" : "`" + text + "`";
}

// Writes the rows of the message's keys, then the tables nested in it.
void
WriteTable(const Descriptor& aDescriptor,
           const std::string& aPath,
           std::ostringstream& aOut)
{
  std::ostringstream rows;
  std::ostringstream tables;
  for (int i = 0; i < aDescriptor.field_count(); ++i) {
    const auto& field = *aDescriptor.field(i);
    const auto& meaning = field.options().GetExtension(doc);
    if (IsTable(field)) {
      auto path = aPath + (aPath.empty() ? "" : ".") + field.name();
      auto header = "[" + path + "]";
      tables << "## `" << (field.is_repeated() ? "[" + header + "]" : header)
             << "`\n\n"
             << meaning << "\n\n";
      WriteTable(*field.message_type(), path, tables);
    } else if (!field.options().GetExtension(hidden)) {
      rows << "| `" << field.name() << "` | " << DescribeContent(field) << " | "
           << DescribePreset(field) << " | " << meaning << " |\n";
    }
  }
  if (!rows.str().empty()) {
    aOut << kTableHeader << rows.str() << "\n";
  }
  aOut << tables.str();
}

} // namespace

std::string
MakeSettingsReference(const Descriptor& aDescriptor)
{
  std::ostringstream page;
  page << "# Settings: " << aDescriptor.name() << "\n\n";
  WriteTable(aDescriptor, "", page);
  return page.str();
}

} // namespace waxwingyoke::schema
