#pragma once

#include "balsamyard/src/Core/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamyard::soak {

/// \brief What callers and targets saw of one request.
struct RequestRecord {
  std::string Path;
  std::string Body;
  bool MayRepeat = true;
  std::size_t Node = 0;
  TimePoint SentAt{};
  std::uint32_t Runs = 0;
  std::optional<int> Status; ///< Of the final answer.
};

/// \brief Keeps what callers and targets see, and checks the promises on it.
class Ledger {
public:
  void sent(const std::string &Id, RequestRecord Record);

  /// \brief A target starts to run a request.
  void ran(const std::string &Id, const std::string &Path,
           const std::string &Body);

  /// \brief The caller has its final answer.
  void answered(const std::string &Id, int Status);

  const RequestRecord &of(const std::string &Id) const {
    return this->Requests.at(Id);
  }

  /// \brief Writes down that a promise was broken.
  void violation(const std::string &What);

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

/// \returns whether a status says that the request has not run.
bool saysNotRun(int Status);

} // namespace balsamyard::soak
