#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <map>
#include <mutex>

namespace balsamyard {

/// \brief Quarantined request fingerprints with the times of their release.
///
/// Requests read the list without a lock (RCU). Notices from holder processes
/// modify it.
class QuarantineList {
public:
  /// \brief Maximum number of fingerprints. If the list is full, the one with
  /// the earliest release is evicted. Bounds the memory that a faulty sender of
  /// notices can use.
  static constexpr std::size_t MaxEntries = 4096;

  QuarantineList();

  /// \brief Quarantines \p Print for \p Remaining. A later release time that is
  /// already set stays.
  void add(Fingerprint Print, Duration Remaining, TimePoint Now);

  bool contains(Fingerprint Print, TimePoint Now) const;

  std::size_t size() const { return this->Current.read()->Until.size(); }

private:
  struct Entries : RefCounted<Entries> {
    std::map<Fingerprint, TimePoint> Until;
  };

  std::mutex ChangeMutex;
  RcuCell<Entries> Current;
};

} // namespace balsamyard
