#include "balsamyard/src/Process/Quarantine.h"

#include <algorithm>

namespace balsamyard {

std::vector<QuarantineEffect> Quarantine::apply(const QuarantineEvent &Event,
                                                TimePoint Now) {
  return std::visit([&](const auto &Body) { return this->on(Body, Now); },
                    Event);
}

bool Quarantine::holds(Fingerprint Print, TimePoint Now) const {
  auto Found = this->Quarantined.find(Print);
  return Found != this->Quarantined.end() && Now < Found->second;
}

std::map<Fingerprint, TimePoint> Quarantine::held(TimePoint Now) const {
  std::map<Fingerprint, TimePoint> Result;
  for (const auto &[Print, Until] : this->Quarantined)
    if (Now < Until)
      Result.emplace(Print, Until);
  return Result;
}

std::vector<QuarantineEffect> Quarantine::on(const TargetCrashed &Event,
                                             TimePoint Now) {
  this->removeExpired(Now);
  std::vector<QuarantineEffect> Effects;
  for (Fingerprint Print : Event.InFlight) {
    if (this->holds(Print, Now))
      continue;
    if (this->Suspects.size() >= MaxEntries && !this->Suspects.contains(Print))
      continue;
    if (!this->recordCrash(this->Suspects[Print], Event.Target, Now))
      continue;
    this->Suspects.erase(Print);
    this->quarantine(Print, Now + HoldTime);
    Effects.emplace_back(AnnounceQuarantine{Print, HoldTime});
  }
  return Effects;
}

std::vector<QuarantineEffect> Quarantine::on(const RequestSucceeded &Event,
                                             TimePoint) {
  if (auto Found = this->Suspects.find(Event.Print);
      Found != this->Suspects.end())
    ++Found->second.Successes;
  return {};
}

std::vector<QuarantineEffect> Quarantine::on(const QuarantineReceived &Event,
                                             TimePoint Now) {
  this->quarantine(Event.Print, Now + std::clamp(Event.Remaining,
                                                 Duration::zero(), HoldTime));
  return {};
}

bool Quarantine::recordCrash(Suspect &Entry, const TargetIncarnation &Target,
                             TimePoint Now) {
  std::erase_if(Entry.Crashes, [&](const Crash &Earlier) {
    return Now - Earlier.At > CrashWindow;
  });
  for (const Crash &Earlier : Entry.Crashes)
    if (Earlier.Target == Target)
      return false;
  Entry.Crashes.push_back({Target, Now, Entry.Successes});
  std::set<SlotKey> Slots;
  for (const Crash &Earlier : Entry.Crashes)
    Slots.insert(Earlier.Target.Slot);
  const std::uint64_t Successes =
      Entry.Successes - Entry.Crashes.front().SuccessesBefore;
  return Entry.Crashes.size() >= CrashesUntilQuarantine &&
         Slots.size() >= SlotsUntilQuarantine &&
         Successes < Entry.Crashes.size();
}

void Quarantine::quarantine(Fingerprint Print, TimePoint Until) {
  if (this->Quarantined.size() >= MaxEntries &&
      !this->Quarantined.contains(Print))
    this->Quarantined.erase(std::min_element(
        this->Quarantined.begin(), this->Quarantined.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  TimePoint &Entry = this->Quarantined[Print];
  Entry = std::max(Entry, Until);
}

void Quarantine::removeExpired(TimePoint Now) {
  std::erase_if(this->Suspects, [&](const auto &Entry) {
    return Now - Entry.second.Crashes.back().At > CrashWindow;
  });
  std::erase_if(this->Quarantined,
                [&](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace balsamyard
