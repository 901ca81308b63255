#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/Time.h"
#include "balsamyard/src/Version/RcuCell.h"

#include <map>
#include <mutex>

namespace balsamyard {

/// \brief Fingerprints that are refused until a point in time.
///
/// Requests read it without a lock; notices of holders change it.
class QuarantineList {
public:
  /// \brief Highest number of fingerprints; the one that is released first
  /// makes room. Bounds what a faulty sender of notices can use up.
  static constexpr std::size_t MaxEntries = 4096;

  QuarantineList();

  /// \brief Refuses \p Print for \p Remaining, or longer if it already is.
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
