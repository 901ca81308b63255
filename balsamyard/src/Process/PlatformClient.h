#pragma once

#include "balsamyard/src/Core/Error.h"
#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace balsamyard {

/// \brief Maximum size of the value of a platform object and of an answer.
inline constexpr std::size_t MaxObjectBytes = 1 << 20;

/// \brief A platform object: its value and the version for conditional updates.
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

/// \brief Objects below a prefix and the store's version counter.
struct PlatformListing {
  std::uint64_t Version = 0;
  std::vector<PlatformEntry> Entries;
};

/// \brief Blocking client of the platform's object API. Thread-safe.
///
/// Errors: PlatformUnavailable (an update may still have taken effect),
/// PlatformConflict, PlatformMalformed, ObjectAbsent, BodyTooLarge. The client
/// never retries a call.
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

  /// \brief Deletes the object if its version is still \p IfVersion.
  Expected<void> erase(const std::string &Name, std::uint64_t IfVersion);

  /// \returns all objects below \p Prefix.
  Expected<PlatformListing> list(const std::string &Prefix);

  /// \brief Waits until an object below \p Prefix has a version above \p After.
  /// \returns the newer objects, or none if the platform ended the watch
  /// without a change.
  Expected<PlatformListing> watch(const std::string &Prefix,
                                  std::uint64_t After);

  /// \returns the platform's VM list.
  Expected<std::vector<PlatformVm>> vms();

  /// \brief Cancels all running calls and returns once they have ended. Later
  /// calls fail immediately.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

namespace internal {

/// \brief Decoders of the platform's answers to list() and vms().
Expected<PlatformListing> parseListing(const std::string &Text);
Expected<std::vector<PlatformVm>> parseVms(const std::string &Text);

} // namespace internal

} // namespace balsamyard
