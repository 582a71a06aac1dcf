#include <schema/SettingsReader.h>

#include <sstream>

#include <google/protobuf/descriptor.h>
#include <schema/options.pb.h>

namespace waxwingyoke::schema {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

std::string
DescribeRange(const FieldDescriptor& aField)
{
  const auto& options = aField.options();
  if (!options.HasExtension(max)) {
    return aField.cpp_type_name();
  }
  return std::to_string(options.GetExtension(min)) + " to " +
         std::to_string(options.GetExtension(max));
}

std::string
DescribePreset(const FieldDescriptor& aField)
{
  const auto& options = aField.options();
  if (options.GetExtension(required)) {
    return "required";
  }
  const auto& text = options.GetExtension(preset);
  return text.empty() ? "empty" : "`" + text + "`";
}

void
WriteTable(const Descriptor& aDescriptor,
           const std::string& aName,
           std::ostringstream& aOut)
{
  std::ostringstream inner;
  aOut << "## `[" << aName << "]`\n\n"
       << "| key | holds | preset | meaning |\n| --- | --- | --- | --- |\n";
  for (int i = 0; i < aDescriptor.field_count(); ++i) {
    const auto& field = *aDescriptor.field(i);
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      WriteTable(*field.message_type(), field.name(), inner);
      continue;
    }
    aOut << "| `" << field.name() << "` | " << DescribeRange(field) << " | "
         << DescribePreset(field) << " | " << field.options().GetExtension(doc)
         << " |\n";
  }
  aOut << "\n" << inner.str();
}

} // namespace

std::string
MakeSettingsReference(const Descriptor& aDescriptor)
{
  std::ostringstream page;
  std::ostringstream top;
  bool hasTopKeys = false;
  for (int i = 0; i < aDescriptor.field_count(); ++i) {
    const auto& field = *aDescriptor.field(i);
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      WriteTable(*field.message_type(), field.name(), page);
      continue;
    }
    hasTopKeys = true;
    top << "| `" << field.name() << "` | " << DescribeRange(field) << " | "
        << DescribePreset(field) << " | " << field.options().GetExtension(doc)
        << " |\n";
  }
  std::string head = "# Settings: " + aDescriptor.name() + "\n\n";
  if (hasTopKeys) {
    head += "| key | holds | preset | meaning |\n| --- | --- | --- | --- |\n" +
            top.str() + "\n";
  }
  return head + page.str();
}

} // namespace waxwingyoke::schema
