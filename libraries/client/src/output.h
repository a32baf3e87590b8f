// Output of the subcommands as text or JSON.
#ifndef CRANBERRYSHUNT_CLIENT_OUTPUT_H_
#define CRANBERRYSHUNT_CLIENT_OUTPUT_H_

#include <string>

#include "json.h"

namespace cranberryshunt::client {

// Renders a value for people: the fields of an object as `name: value` lines,
// and lists of objects as tables. All fields are shown, also those that this
// version of the client does not know.
std::string RenderAsText(const json_t* value);

// Prints `value` on standard output, either as one line of JSON or as rendered
// by RenderAsText().
void Print(const json_t* value, bool as_json);

}  // namespace cranberryshunt::client

#endif  // CRANBERRYSHUNT_CLIENT_OUTPUT_H_
