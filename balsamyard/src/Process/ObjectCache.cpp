#include "balsamyard/src/Process/ObjectCache.h"

#include "balsamyard/src/Core/Cbor.h"

#include <algorithm>
#include <set>

namespace balsamyard {

using Json = nlohmann::json;

std::string encodeObject(const StoredObject &Object) {
  return toCbor(Json::array({Object.Content, Object.Status}));
}

bool decodeObject(std::string_view Bytes, StoredObject &Object) {
  std::optional<Json> Decoded = parseCbor(Bytes);
  if (!Decoded || !Decoded->is_array() || Decoded->size() != 2)
    return false;
  Object.Content = std::move((*Decoded)[0]);
  Object.Status = std::move((*Decoded)[1]);
  return true;
}

void ObjectCache::remove(KindState &State, const std::string &Name,
                         StoreRevision At) {
  State.Objects.erase(Name);
  State.Removals.emplace_back(At, Name);
  if (State.Removals.size() <= MaxRemovals)
    return;
  State.RemovalsFrom = State.Removals.front().first;
  State.Removals.pop_front();
}

std::vector<ObjectChange> ObjectCache::update(KindUpdate Update) {
  KindState &State = this->Kinds[Update.Kind];
  // Without all objects, the changes of some cannot be told from a gap.
  if (!State.AsOf && !Update.Complete)
    return {};
  if (State.AsOf && Update.AsOf < *State.AsOf)
    return {};
  const bool IsNewEra = State.AsOf && Update.AsOf.Era != State.AsOf->Era;
  // The changes since a revision of another era are not all that has changed.
  if (IsNewEra && !Update.Complete)
    return {};
  std::vector<ObjectChange> New;
  std::set<std::string> Listed;
  if (!State.AsOf || IsNewEra) {
    State.Removals.clear();
    State.RemovalsFrom = Update.AsOf;
  }
  for (ObjectChange &Change : Update.Changes) {
    const std::string &Name = Change.Object.Name;
    const auto Known = State.Objects.find(Name);
    if (Change.Removed) {
      if (Known == State.Objects.end() ||
          Change.Object.Revision < Known->second.Revision)
        continue;
      remove(State, Name, Update.AsOf);
      New.push_back(std::move(Change));
      continue;
    }
    Listed.insert(Name);
    if (Known != State.Objects.end() &&
        Change.Object.Revision <= Known->second.Revision)
      continue;
    std::string Encoded = encodeObject(Change.Object);
    const bool IsSame = IsNewEra && Known != State.Objects.end() &&
                        Known->second.Encoded == Encoded;
    State.Objects[Name] = {Change.Object.Revision, std::move(Encoded)};
    if (!IsSame)
      New.push_back(std::move(Change));
  }
  if (Update.Complete) {
    std::vector<std::string> Missing;
    for (const auto &[Name, Known] : State.Objects)
      // An object that is newer than the list was added after it.
      if (!Listed.contains(Name) && Known.Revision <= Update.AsOf)
        Missing.push_back(Name);
    for (const std::string &Name : Missing) {
      remove(State, Name, Update.AsOf);
      ObjectChange &Gone = New.emplace_back();
      Gone.Object.Name = Name;
      Gone.Removed = true;
    }
  }
  State.AsOf = Update.AsOf;
  return New;
}

std::optional<StoreRevision> ObjectCache::asOf(ObjectKind Kind) const {
  const auto Found = this->Kinds.find(Kind);
  return Found == this->Kinds.end() ? std::nullopt : Found->second.AsOf;
}

KindUpdate ObjectCache::since(ObjectKind Kind,
                              std::optional<StoreRevision> Since) const {
  const KindState &State = this->Kinds.at(Kind);
  KindUpdate Result;
  Result.Kind = Kind;
  Result.AsOf = *State.AsOf;
  Result.Complete = !Since || *Since < State.RemovalsFrom;
  const auto Add = [&Result](const std::string &Name) -> ObjectChange & {
    ObjectChange &Change = Result.Changes.emplace_back();
    Change.Object.Name = Name;
    return Change;
  };
  if (!Result.Complete)
    for (const auto &[At, Name] : State.Removals)
      if (At > *Since && !State.Objects.contains(Name)) {
        ObjectChange &Change = Add(Name);
        Change.Removed = true;
        Change.Object.Revision = At;
      }
  for (const auto &[Name, Known] : State.Objects) {
    if (!Result.Complete && Known.Revision <= *Since)
      continue;
    ObjectChange &Change = Add(Name);
    Change.Object.Revision = Known.Revision;
    decodeObject(Known.Encoded, Change.Object);
  }
  return Result;
}

std::vector<StoredObject> ObjectCache::objects(ObjectKind Kind) const {
  std::vector<StoredObject> Result;
  const auto Found = this->Kinds.find(Kind);
  if (Found == this->Kinds.end())
    return Result;
  for (const auto &[Name, Known] : Found->second.Objects) {
    StoredObject &Object = Result.emplace_back();
    Object.Name = Name;
    Object.Revision = Known.Revision;
    decodeObject(Known.Encoded, Object);
  }
  return Result;
}

} // namespace balsamyard
