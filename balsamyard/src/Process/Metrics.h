#pragma once

#include "balsamyard/src/Core/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace balsamyard {

/// \brief Counters and latency histograms (Boost.Histogram) of a process.
///
/// Thread-safe. Labels are a Prometheus label list without braces, such as
/// `service="portal",code="1000"`, and may be empty.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void add(std::string_view Name, std::string_view Labels,
           std::uint64_t Amount = 1);
  void set(std::string_view Name, std::string_view Labels, double Value);
  void observe(std::string_view Name, std::string_view Labels, Duration Value);

  /// \returns all series in the Prometheus text format.
  std::string toText() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace balsamyard
