#include "balsamyard/src/Connection/ConnectionTable.h"

#include <algorithm>

namespace balsamyard {

ConnectionTable::~ConnectionTable() {
  // Connections may outlive the table in handlers that were not called yet.
  while (!this->Connections.empty())
    this->Connections.front().leaveTable();
}

bool ConnectionTable::makeRoom() {
  if (this->size() < this->Capacity)
    return true;
  const auto Silent = std::find_if(
      this->Connections.begin(), this->Connections.end(),
      [](const ServerConnection &Open) { return !Open.isHandling(); });
  if (Silent == this->Connections.end())
    return false;
  this->evict(*Silent);
  return true;
}

void ConnectionTable::evict(ServerConnection &Open) {
  this->Evictions.fetch_add(1, std::memory_order_relaxed);
  Ref<ServerConnection>(&Open)->evict();
}

void ConnectionTable::add(ServerConnection &Opened) {
  this->Connections.push_back(Opened);
  this->Count.fetch_add(1, std::memory_order_relaxed);
}

void ConnectionTable::touch(ServerConnection &Active) {
  this->Connections.splice(this->Connections.end(), this->Connections,
                           this->Connections.iterator_to(Active));
  if (Active.WriterHook.is_linked())
    this->Writers.splice(this->Writers.end(), this->Writers,
                         this->Writers.iterator_to(Active));
}

void ConnectionTable::beginWriting(ServerConnection &Writer) {
  this->Writers.push_back(Writer);
}

void ConnectionTable::endWriting(ServerConnection &Writer) {
  this->Writers.erase(this->Writers.iterator_to(Writer));
}

void ConnectionTable::endStalled(TimePoint Now, const MessageMemory *Answers) {
  for (auto Next = this->Writers.begin(); Next != this->Writers.end();) {
    ServerConnection &Writer = *Next++;
    const bool IsStalled = Writer.isStalled(Now);
    const bool IsInTheWay = Answers != nullptr && Answers->isScarce() &&
                            Writer.stalledFor(Now) >= MinStall;
    if (!IsStalled && !IsInTheWay)
      return;
    if (IsStalled || Writer.holdsMemory())
      this->evict(Writer);
  }
}

void ConnectionTable::remove(ServerConnection &Closed) {
  if (Closed.WriterHook.is_linked())
    this->endWriting(Closed);
  this->Connections.erase(this->Connections.iterator_to(Closed));
  this->Count.fetch_sub(1, std::memory_order_relaxed);
}

std::vector<Ref<ServerConnection>> ConnectionTable::open() {
  std::vector<Ref<ServerConnection>> Result;
  for (ServerConnection &Open : this->Connections)
    Result.emplace_back(&Open);
  return Result;
}

} // namespace balsamyard
