#include "daemon/daemon.hpp"
#include "mulberryramp/node/node.hpp"
#include "mulberryramp/storage/identity.hpp"

#include <cxxopts.hpp>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace mulberryramp;

constexpr int ExitUsage = 2;

struct Arguments {
  std::string SettingsFile;
  std::string DataFolder;
  NodeId Id = 0;
  bool IsCheck = false;
  bool IsInit = false;
  bool AllowsUnsafeConfigRecovery = false;
};

std::optional<Arguments> readArguments(int Argc, char **Argv) {
  cxxopts::Options Options{"mulberryrampd",
                           "Daemon of the mulberryramp cluster scheduler"};
  Options.add_options()("s,settings", "settings file (INI)",
                        cxxopts::value<std::string>())(
      "id", "number of this daemon; overrides the settings file",
      cxxopts::value<NodeId>()->default_value("0"))(
      "data-folder", "data folder; overrides the settings file",
      cxxopts::value<std::string>()->default_value(""))(
      "check", "validate the settings and exit")(
      "recover-config",
      "recover the configuration group from this voter alone; only if all "
      "other voters have lost their state")(
      "init", "prepare the data folder of a bootstrap voter and exit")(
      "h,help", "show this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      std::exit(0);
    }
    Arguments Args;
    Args.SettingsFile = Parsed["settings"].as<std::string>();
    Args.DataFolder = Parsed["data-folder"].as<std::string>();
    Args.Id = Parsed["id"].as<NodeId>();
    Args.IsCheck = Parsed.count("check") != 0;
    Args.AllowsUnsafeConfigRecovery = Parsed.count("recover-config") != 0;
    Args.IsInit = Parsed.count("init") != 0;
    return Args;
  } catch (const std::exception &Error) {
    std::cerr << "mulberryrampd: " << Error.what() << "\n" << Options.help();
    return std::nullopt;
  }
}

std::optional<Settings> readSettings(const Arguments &Args) {
  std::ifstream Source{Args.SettingsFile};
  if (!Source) {
    std::cerr << Args.SettingsFile << ": cannot be read\n";
    return std::nullopt;
  }
  const std::string Text{std::istreambuf_iterator<char>{Source}, {}};
  auto Parsed = parseSettings(Args.SettingsFile, Text, Args.Id);
  if (!Parsed) {
    std::cerr << Parsed.error().render();
    return std::nullopt;
  }
  if (!Args.DataFolder.empty()) {
    Parsed->DataFolder = Args.DataFolder;
  }
  Parsed->AllowsUnsafeConfigRecovery = Args.AllowsUnsafeConfigRecovery;
  const bool HasDisk = findNode(*Parsed, Parsed->Self)->HasDisk;
  if (HasDisk == Parsed->DataFolder.empty()) {
    std::cerr << Args.SettingsFile << ": daemon " << Parsed->Self
              << (HasDisk ? " has disk = yes but no data-folder\n"
                          : " has a data-folder but not disk = yes\n");
    return std::nullopt;
  }
  return *Parsed;
}

int initFolder(const Settings &Deployment) {
  auto Files = openDiskFiles(Deployment.DataFolder);
  if (!Files) {
    std::cerr << Files.error().Text << "\n";
    return 1;
  }
  const auto Initialized = bootstrapIdentity(**Files).and_then(
      [&] { return Node::bootstrap(Deployment, **Files); });
  if (!Initialized) {
    std::cerr << Deployment.DataFolder << ": " << Initialized.error().Text
              << "\n";
    return 1;
  }
  return 0;
}

void onSignal(int /*Signal*/) { Daemon::requestStop(); }

} // namespace

int main(int Argc, char **Argv) {
  google::InitGoogleLogging(Argv[0]);
  FLAGS_logtostderr = true;
  const auto Args = readArguments(Argc, Argv);
  if (!Args) {
    return ExitUsage;
  }
  const auto Deployment = readSettings(*Args);
  if (!Deployment) {
    return ExitUsage;
  }
  if (Args->IsCheck) {
    std::cout << "settings are valid\n";
    return 0;
  }
  if (Args->IsInit) {
    return initFolder(*Deployment);
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  auto Started = Daemon::start(*Deployment);
  if (!Started) {
    std::cerr << "mulberryrampd: " << Started.error() << "\n";
    return 1;
  }
  return (*Started)->run();
}
