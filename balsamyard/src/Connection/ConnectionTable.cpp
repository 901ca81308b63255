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
  this->Evictions.fetch_add(1, std::memory_order_relaxed);
  Ref<ServerConnection>(&*Silent)->evict();
  return true;
}

void ConnectionTable::add(ServerConnection &Opened) {
  this->Connections.push_back(Opened);
  this->Count.fetch_add(1, std::memory_order_relaxed);
}

void ConnectionTable::touch(ServerConnection &Active) {
  this->Connections.splice(this->Connections.end(), this->Connections,
                           this->Connections.iterator_to(Active));
}

void ConnectionTable::remove(ServerConnection &Closed) {
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
