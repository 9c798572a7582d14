// The command-line client for operators and callers.
#include <string>
#include <vector>

#include "jujube/ctl/app.h"

int main(int argc, char **argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(jujube::ctl::runApp(args, jujube::ctl::realHooks()));
}
