#include "balsamyard/src/Connection/TargetClient.h"

namespace balsamyard {

TargetClient::~TargetClient() {
  while (!this->Idle.empty())
    this->close(this->Idle.front());
}

void TargetClient::setLimit(std::uint32_t Connections) {
  this->Limit = Connections;
  while (this->Open > this->Limit && !this->Idle.empty())
    this->close(this->Idle.back());
}

TargetLease TargetClient::take() {
  const bool AllLost = this->dropClosed();
  TargetLease Lease =
      this->Idle.empty() ? this->takeNew() : this->takeIdle(this->Idle.front());
  Lease.AllLost = AllLost;
  return Lease;
}

TargetLease TargetClient::takeOldest() {
  const bool AllLost = this->dropClosed();
  TargetLease Lease =
      this->Idle.empty() ? this->takeNew() : this->takeIdle(this->Idle.back());
  Lease.AllLost = AllLost;
  return Lease;
}

TargetLease TargetClient::takeNew() {
  if (!this->hasRoom())
    return {};
  ++this->Open;
  return {makeRef<TargetConnection>(this->Target), false};
}

bool TargetClient::giveBack(const TargetLease &Lease,
                            const TargetExchange &Exchange) {
  const bool Keep = Exchange.Result == Code::Ok && Lease.Connection->isIdle() &&
                    this->Open <= this->Limit;
  if (Keep) {
    intrusive_ptr_add_ref(Lease.Connection.get());
    this->Idle.push_front(*Lease.Connection);
    return false;
  }
  --this->Open;
  if (!Exchange.ConnectionBroken)
    return false;
  this->dropClosed();
  return this->Idle.empty();
}

std::uint32_t TargetClient::idle() const {
  return static_cast<std::uint32_t>(this->Idle.size());
}

bool TargetClient::dropClosed() {
  bool Dropped = false;
  for (auto Next = this->Idle.begin(); Next != this->Idle.end();) {
    TargetConnection &Connection = *Next++;
    if (Connection.isIdle())
      continue;
    this->close(Connection);
    Dropped = true;
  }
  return Dropped && this->Idle.empty();
}

void TargetClient::close(TargetConnection &Connection) {
  this->Idle.erase(this->Idle.iterator_to(Connection));
  --this->Open;
  intrusive_ptr_release(&Connection);
}

TargetLease TargetClient::takeIdle(TargetConnection &Connection) {
  this->Idle.erase(this->Idle.iterator_to(Connection));
  return {Ref<TargetConnection>(&Connection, false), false};
}

} // namespace balsamyard
