#include "tests/soak/NodeProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>

extern char **environ;

namespace balsamyard::soak {

NodeProcess::NodeProcess(NodeOptions Options) : Options(std::move(Options)) {}

NodeProcess::~NodeProcess() {
  if (!this->isRunning())
    return;
  ::kill(this->Process, SIGKILL);
  ::waitpid(this->Process, nullptr, 0);
}

void NodeProcess::writeSettings() const {
  // Replaced atomically, so that the process never reads a partial file.
  const std::string Path = this->Options.Folder + "/" + this->Options.Name;
  std::ofstream File(Path + ".next");
  File << "nodeName: \"" << this->Options.Name << "\"\n"
       << "zone: \"z\"\nregion: \"r\"\nzones:\n  z: \"r\"\n"
       << "listen:\n  front: \"" << this->Options.Address << ":" << CallerPort
       << "\"\n  readinessAddr: \"" << this->Options.Address << ":"
       << ReadinessPort << "\"\n"
       << "ip: \"" << this->Options.Address << "\"\ninternalPorts:\n  - "
       << PeerPort << "\n"
       << "limits:\n  cores: " << this->Options.Limits.Cores << "\n";
  if (this->Options.Limits.MemoryMegabytes > 0)
    File << "  memoryMb: " << this->Options.Limits.MemoryMegabytes << "\n";
  if (this->Options.Limits.Descriptors > 0)
    File << "  maxFds: " << this->Options.Limits.Descriptors << "\n";
  File << "bounds:\n  drainMs: 3000\n  graceS: 6\n  retryBudgetRatio: 0.2\n"
       << "  retryWindowS: 10\n  retryBudgetSlack: "
       << 300 + this->SettingsVersion << "\n"
       << "platform:\n  address: \"127.0.0.1:" << this->Options.Store.port()
       << "\"\n";
  File.close();
  if (::rename((Path + ".next").c_str(), (Path + ".yaml").c_str()) != 0)
    throw std::runtime_error("settings cannot be written: " + Path);
}

void NodeProcess::changeSettings() {
  ++this->SettingsVersion;
  this->writeSettings();
}

void NodeProcess::start() {
  this->writeSettings();
  this->StopSince.reset();
  this->KilledAt.reset();
  this->PausedUntil.reset();
  const std::string Base = this->Options.Folder + "/" + this->Options.Name;
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  ::posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO,
                                     (Base + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the node inherits would stay open after this process closes
  // it, and its peer would never see the connection end.
  ::posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  std::string Program = this->Options.Program;
  std::string Flag = "--settings";
  std::string Path = Base + ".yaml";
  std::string MetricsFlag = "--metrics-port";
  std::string Metrics = std::to_string(MetricsPort);
  char *Arguments[] = {
      Program.data(),
      Flag.data(),
      Path.data(),
      this->Options.ServesMetrics ? MetricsFlag.data() : nullptr,
      Metrics.data(),
      nullptr};
  const int Problem = ::posix_spawn(&this->Process, Program.c_str(), &Files,
                                    nullptr, Arguments, environ);
  ::posix_spawn_file_actions_destroy(&Files);
  if (Problem != 0)
    throw std::runtime_error("cannot start " + Program);
  if (this->Options.Limits.Descriptors == 0)
    return;
  const rlimit Granted{this->Options.Limits.Descriptors,
                       this->Options.Limits.Descriptors};
  if (::prlimit(this->Process, RLIMIT_NOFILE, &Granted, nullptr) != 0)
    throw std::runtime_error("cannot limit the descriptors of " + Program);
}

void NodeProcess::signal(int Number) {
  if (this->isRunning())
    ::kill(this->Process, Number);
}

std::optional<int> NodeProcess::takeExitStatus() {
  int Status = 0;
  if (!this->isRunning() || ::waitpid(this->Process, &Status, WNOHANG) <= 0)
    return std::nullopt;
  this->Process = 0;
  return Status;
}

asio::ip::tcp::endpoint NodeProcess::at(std::uint16_t Port) const {
  return {asio::ip::make_address(this->Options.Address), Port};
}

asio::ip::tcp::endpoint NodeProcess::callers() const {
  return this->at(CallerPort);
}

asio::ip::tcp::endpoint NodeProcess::readiness() const {
  return this->at(ReadinessPort);
}

asio::ip::tcp::endpoint NodeProcess::metrics() const {
  return this->at(MetricsPort);
}

asio::ip::tcp::endpoint NodeProcess::peers() const {
  return this->at(PeerPort);
}

} // namespace balsamyard::soak
