#include "cli/commands.hpp"

#include <iostream>

int main(int Argc, char **Argv) {
  const std::vector<std::string> Args{Argv + 1, Argv + Argc};
  try {
    return static_cast<int>(mulberryramp::runCli(Args));
  } catch (const std::exception &Error) {
    std::cerr << "mulberryramp: " << Error.what() << '\n';
    return static_cast<int>(mulberryramp::ExitStatus::Usage);
  }
}
