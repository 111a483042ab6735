#include "command.h"

int main(int argc, char** argv) {
  return radishrudder::command_line::RunProgram(argc, argv);
}
