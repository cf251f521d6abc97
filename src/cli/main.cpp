#include "cli/commands.hpp"

#include <iostream>

int main(int Count, char **Values) {
  const std::vector<std::string> Words{Values + 1, Values + Count};
  try {
    return static_cast<int>(mulberryramp::runCli(Words));
  } catch (const std::exception &Error) {
    std::cerr << "mulberryramp: " << Error.what() << '\n';
    return static_cast<int>(mulberryramp::ExitStatus::Usage);
  }
}
