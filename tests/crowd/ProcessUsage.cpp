#include "tests/crowd/ProcessUsage.h"

#include <algorithm>
#include <asio/ip/address_v4.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace balsamyard::test {

namespace {

/// \returns an address in the form of /proc/net/tcp: its bytes in reverse
/// order, in hexadecimal.
std::string kernelForm(const std::string &Address) {
  const auto Bytes = asio::ip::make_address_v4(Address).to_bytes();
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%02X%02X%02X%02X:", Bytes[3],
                Bytes[2], Bytes[1], Bytes[0]);
  return Text.data();
}

std::size_t residentBytes(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stoul(Line.substr(6)) * 1024;
  return 0;
}

std::size_t socketBytes(const std::string &LocalAddress) {
  const std::string Listening = "0A";
  std::ifstream File("/proc/net/tcp");
  std::size_t Sum = 0;
  std::string Line;
  std::getline(File, Line); // The names of the columns.
  while (std::getline(File, Line)) {
    std::istringstream Columns(Line);
    std::string Number;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues; // "SENDING:RECEIVED"
    Columns >> Number >> Local >> Remote >> State >> Queues;
    if (!Local.starts_with(LocalAddress) || State == Listening)
      continue;
    const std::size_t Colon = Queues.find(':');
    Sum += std::stoul(Queues.substr(0, Colon), nullptr, 16) +
           std::stoul(Queues.substr(Colon + 1), nullptr, 16);
  }
  return Sum;
}

std::size_t openDescriptors(pid_t Process) {
  std::error_code Problem;
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Process) + "/fd", Problem);
  return Problem ? 0
                 : static_cast<std::size_t>(
                       std::distance(begin(Entries), end(Entries)));
}

} // namespace

ProcessUsage::ProcessUsage(pid_t Process, const std::string &Address)
    : Process(Process), LocalAddress(kernelForm(Address)),
      Sampler([this] { this->update(); }) {}

ProcessUsage::~ProcessUsage() {
  this->Ended = true;
  this->Sampler.join();
}

Usage ProcessUsage::sample() const {
  return {residentBytes(this->Process), socketBytes(this->LocalAddress),
          openDescriptors(this->Process)};
}

Usage ProcessUsage::peak() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Peak;
}

void ProcessUsage::update() {
  while (!this->Ended) {
    const Usage Now = this->sample();
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (Now.bytes() > this->Peak.bytes()) {
        this->Peak.ResidentBytes = Now.ResidentBytes;
        this->Peak.SocketBytes = Now.SocketBytes;
      }
      this->Peak.Descriptors =
          std::max(this->Peak.Descriptors, Now.Descriptors);
    }
    std::this_thread::sleep_for(Interval);
  }
}

} // namespace balsamyard::test
