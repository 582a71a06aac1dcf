#ifndef waxwingyoke_waxwingyoke_Output_h
#define waxwingyoke_waxwingyoke_Output_h

#include <string>

#include <utils/Error.h>

namespace google::protobuf {
class Message;
}

namespace waxwingyoke::tool {

/** Prints an error to standard error; returns the exit code of its kind. */
int
Fail(const utils::Error& aReason);

/** Prints a message to standard output as indented JSON. */
void
PrintJson(const google::protobuf::Message& aMessage);

} // namespace waxwingyoke::tool

#endif // waxwingyoke_waxwingyoke_Output_h
