#pragma once

#include "balsamyard/src/Core/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamyard::soak {

/// \brief Observations of callers and targets about one request.
struct RequestRecord {
  std::string Path;
  std::string Body;
  bool Idempotent = true;
  std::size_t Node = 0;
  TimePoint SentAt{};
  std::uint32_t Runs = 0;
  std::optional<int> Status; ///< Of the final answer.
};

/// \brief Records what callers and targets observe, and checks the guarantees
/// on executed requests.
class Ledger {
public:
  void sent(const std::string &Id, RequestRecord Record);

  /// \brief Records that a target has started to run a request.
  void ran(const std::string &Id, const std::string &Path,
           const std::string &Body);

  /// \brief Records the final answer to a request.
  void answered(const std::string &Id, int Status);

  const RequestRecord &record(const std::string &Id) const {
    return this->Requests.at(Id);
  }

  /// \brief Records the violation of a guarantee.
  void violation(const std::string &Message);

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }

  std::size_t requests() const { return this->Requests.size(); }
  std::size_t successes() const { return this->Successes; }

private:
  std::map<std::string, RequestRecord> Requests;
  std::vector<std::string> Violations;
  std::size_t Successes = 0;
};

/// \returns whether a status guarantees that the request was not executed.
bool meansNotExecuted(int Status);

} // namespace balsamyard::soak
