#include "commands.h"

int main(int argc, char** argv) {
  return cranberryshunt::RunCommandLine(argc, argv);
}
