#pragma once

#include "balsamyard/src/Core/Names.h"
#include "balsamyard/src/Core/RefCounted.h"
#include "balsamyard/src/Core/Time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace balsamyard {

/// \brief Quality of an answer, counted per version.
enum class AnswerQuality : std::uint8_t { Good, Slow, Error };

/// \brief Cumulative answer counts of one version in a move.
struct VersionTally {
  std::uint64_t Answers = 0;
  std::uint64_t Errors = 0;
  std::uint64_t Slow = 0;

  std::uint64_t bad() const { return this->Errors + this->Slow; }
  bool operator==(const VersionTally &) const = default;
};

/// \brief Answer counts of both versions on the routes of one bucket.
struct RouteTally {
  VersionTally New; ///< The version that traffic moves to.
  VersionTally Old; ///< All other versions.

  bool operator==(const RouteTally &) const = default;
};

/// \brief Number of buckets for routes, chosen by a hash of the route name. A
/// version may be bad on a single route, so each bucket is judged separately;
/// routes in the same bucket are judged together.
inline constexpr std::size_t TallyBuckets = 16;

using MoveTally = std::array<RouteTally, TallyBuckets>;

/// \brief Traffic share and answer counts of a running move, used on the path
/// of a request. Lock-free and thread-safe.
class MoveTraffic : public RefCounted<MoveTraffic> {
public:
  /// \brief An answer is slow if it takes more than this multiple of the median
  /// time of its route. Bad versions are several times slower.
  static constexpr int SlowFactor = 3;

  /// \p Phase, 0 to 1, is the initial value of the accumulator that assigns
  /// requests. Nodes draw it at random, so that they do not all send their
  /// first request to the new version at the same time.
  MoveTraffic(VersionName To, double Phase);

  const VersionName To;

  /// \brief Sets the share of the requests that the new version gets, 0 to 1.
  void setShare(double Share);
  double share() const;

  /// \brief Assigns the next request. \returns whether the new version gets it.
  /// Of any consecutive requests it gets its share, rounded down or up.
  bool assignNextToNew();

  /// \brief Whether requests for the old version may go to the new one when
  /// none of the old targets is usable.
  bool mayFallBackToNew() const { return this->share() >= 1; }

  void count(const RouteName &Route, bool New, AnswerQuality Quality);

  /// \returns the counts of this process so far.
  MoveTally tally() const;

private:
  /// Resolution of the share and of the accumulator.
  static constexpr std::uint64_t UnitsPerRequest = 1'000'000;

  struct AtomicVersionTally {
    std::atomic<std::uint64_t> Answers{0};
    std::atomic<std::uint64_t> Errors{0};
    std::atomic<std::uint64_t> Slow{0};

    void count(AnswerQuality Quality);
    VersionTally read() const;
  };

  std::atomic<std::uint64_t> ShareUnits{0};

  /// Grows by the share with each request. The new version gets the requests
  /// that take it past a multiple of UnitsPerRequest.
  std::atomic<std::uint64_t> Accumulator;
  std::array<AtomicVersionTally, TallyBuckets> New;
  std::array<AtomicVersionTally, TallyBuckets> Old;
};

} // namespace balsamyard
