#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace balsamyard {

/// \brief Value of a platform object and its version.
struct PlatformObject {
  std::uint64_t Version = 0;
  std::string Value;
};

/// \brief One entry of the platform's VM list.
struct PlatformVm {
  NodeName Node;
  DomainName Domain;
  RegionName Region;
  Endpoint Holder;
  bool Leaving = false;
};

/// \brief Name and version of an object in a listing.
struct PlatformEntry {
  std::string Name;
  std::uint64_t Version = 0;
};

/// \brief Blocking client of the platform's object API. Thread-safe.
///
/// Errors: PlatformUnavailable (for updates: it may have taken effect),
/// PlatformConflict, PlatformMalformed, ObjectAbsent.
class PlatformClient {
public:
  PlatformClient(Endpoint Platform, Duration Timeout);
  ~PlatformClient();

  Expected<PlatformObject> get(const std::string &Name);

  /// \brief Creates the object if it does not exist.
  /// \returns its version.
  Expected<std::uint64_t> create(const std::string &Name,
                                 const std::string &Value);

  /// \brief Replaces the object if its version is still \p IfVersion.
  /// \returns the new version.
  Expected<std::uint64_t> update(const std::string &Name,
                                 const std::string &Value,
                                 std::uint64_t IfVersion);

  /// \brief Waits until the object is newer than \p After.
  /// \returns the object, or ObjectAbsent if nothing changed in time.
  Expected<PlatformObject> watch(const std::string &Name, std::uint64_t After,
                                 Duration Wait);

  Expected<std::vector<PlatformEntry>> list(const std::string &Prefix);
  Expected<std::vector<PlatformVm>> vms();

  /// \brief Ends all waiting calls; later calls fail at once.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
