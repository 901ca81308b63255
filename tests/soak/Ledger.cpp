#include "tests/soak/Ledger.h"

namespace balsamyard::soak {

bool meansNotExecuted(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

void Ledger::sent(const std::string &Id, RequestRecord Record) {
  this->Requests[Id] = std::move(Record);
}

void Ledger::violation(const std::string &Message) {
  this->Violations.push_back(Message);
}

void Ledger::ran(const std::string &Id, const std::string &Path,
                 const std::string &Body) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end()) {
    this->violation("a target ran a request that no caller sent: " + Id);
    return;
  }
  RequestRecord &Record = Found->second;
  if (Record.Path != Path || Record.Body != Body)
    this->violation("a target received a different path or body: " + Id);
  ++Record.Runs;
  if (!Record.Idempotent && Record.Runs > 1)
    this->violation("a non-idempotent request was executed twice: " + Id);
  if (Record.Status && meansNotExecuted(*Record.Status))
    this->violation("a request was executed after an answer that says it was "
                    "not: " +
                    Id);
}

void Ledger::answered(const std::string &Id, int Status) {
  RequestRecord &Record = this->Requests.at(Id);
  Record.Status = Status;
  if (Status / 100 == 2)
    ++this->Successes;
  if (meansNotExecuted(Status) && Record.Runs > 0)
    this->violation("a request was answered as not executed after a target "
                    "had executed it: " +
                    Id);
}

} // namespace balsamyard::soak
