// Readable and JSON output of the subcommands.
#ifndef CRANBERRYSHUNT_CLIENT_OUTPUT_H_
#define CRANBERRYSHUNT_CLIENT_OUTPUT_H_

#include <string>

#include "json.h"

namespace cranberryshunt::client {

// Renders an object for people: scalars as `name: value` lines, lists of
// objects as tables. Fields that are new to this client are shown as well.
std::string RenderReadable(const json_t* value);

// Prints `value` on standard output, as JSON on one line or readable.
void Print(const json_t* value, bool as_json);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_OUTPUT_H_
