#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief How an answer of a target counts for its version.
enum class AnswerQuality : std::uint8_t { Good, Slow, Error };

/// \brief Cumulative counts of the answers of one side of a move.
struct VersionTally {
  std::uint64_t Answers = 0;
  std::uint64_t Errors = 0;
  std::uint64_t Slow = 0;

  std::uint64_t bad() const { return this->Errors + this->Slow; }
  bool operator==(const VersionTally &) const = default;
};

/// \brief Counts of both sides of a move on some of the routes.
struct RouteTally {
  VersionTally New; ///< The version that the traffic moves to.
  VersionTally Old; ///< All others.

  bool operator==(const RouteTally &) const = default;
};

/// \brief A version may be bad on a single route. Routes are counted apart by
/// the hash of their name; those that share a place are judged together.
inline constexpr std::size_t TallyBuckets = 16;

using MoveTally = std::array<RouteTally, TallyBuckets>;

/// \brief What requests read and count while the traffic of a service moves to
/// another version. Lock-free; thread-safe.
class MoveTraffic : public RefCounted<MoveTraffic> {
public:
  /// \brief An answer is slow above this multiple of the usual time of its
  /// route. Bad versions are several times slower.
  static constexpr int SlowFactor = 3;

  /// \p Phase, 0 to 1, is the part of a request that the new version is owed at
  /// first. Nodes draw it, so that their first requests do not coincide.
  MoveTraffic(VersionName To, double Phase);

  const VersionName To;

  /// \brief The new version gets this share of the requests, 0 to 1.
  void setShare(double Share);
  double share() const;

  /// \brief Counts one request. \returns whether the new version gets it.
  /// Within any run of requests that is their share, rounded down or up.
  bool assignNextToNew();

  /// \brief Whether requests for the old version may go to the new one when
  /// none of the old targets is usable.
  bool mayFallBackToNew() const { return this->share() >= 1; }

  void count(const RouteName &Route, bool New, AnswerQuality Quality);

  /// \returns the counts of this process so far.
  MoveTally tally() const;

private:
  static constexpr std::uint64_t UnitsPerRequest = 1'000'000;

  struct AtomicVersionTally {
    std::atomic<std::uint64_t> Answers{0};
    std::atomic<std::uint64_t> Errors{0};
    std::atomic<std::uint64_t> Slow{0};

    void count(AnswerQuality Quality);
    VersionTally read() const;
  };

  std::atomic<std::uint64_t> ShareUnits{0};
  std::atomic<std::uint64_t> Owed; ///< In millionths of a request.
  std::array<AtomicVersionTally, TallyBuckets> New;
  std::array<AtomicVersionTally, TallyBuckets> Old;
};

} // namespace balsamyard
