#include "balsamyard/src/Process/Quarantine.h"

#include <algorithm>

namespace balsamyard {

std::vector<QuarantineEffect> Quarantine::apply(const QuarantineEvent &Event,
                                                TimePoint Now) {
  return std::visit([&](const auto &Body) { return this->on(Body, Now); },
                    Event);
}

bool Quarantine::holds(Fingerprint Print, TimePoint Now) const {
  auto Found = this->Held.find(Print);
  return Found != this->Held.end() && Now < Found->second;
}

std::map<Fingerprint, TimePoint> Quarantine::held(TimePoint Now) const {
  std::map<Fingerprint, TimePoint> Result;
  for (const auto &[Print, Until] : this->Held)
    if (Now < Until)
      Result.emplace(Print, Until);
  return Result;
}

std::vector<QuarantineEffect> Quarantine::on(const TargetCrashed &Event,
                                             TimePoint Now) {
  this->forgetOldSuspects(Now);
  std::vector<QuarantineEffect> Effects;
  for (Fingerprint Print : Event.InFlight) {
    if (this->holds(Print, Now))
      continue;
    if (this->Suspects.size() >= MaxEntries && !this->Suspects.contains(Print))
      continue;
    if (!this->charge(this->Suspects[Print], Event.Target, Now))
      continue;
    this->Suspects.erase(Print);
    this->hold(Print, Now + HoldTime);
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
  this->hold(Event.Print,
             Now + std::clamp(Event.Remaining, Duration::zero(), HoldTime));
  return {};
}

bool Quarantine::charge(Suspect &Entry, const TargetIncarnation &Target,
                        TimePoint Now) {
  std::erase_if(Entry.Crashes, [&](const Crash &Former) {
    return Now - Former.At > CrashWindow;
  });
  for (const Crash &Former : Entry.Crashes)
    if (Former.Target == Target)
      return false;
  Entry.Crashes.push_back({Target, Now, Entry.Successes});
  std::set<SlotKey> Slots;
  for (const Crash &Former : Entry.Crashes)
    Slots.insert(Former.Target.Slot);
  const std::uint64_t Successes =
      Entry.Successes - Entry.Crashes.front().SuccessesBefore;
  return Entry.Crashes.size() >= CrashesUntilQuarantine &&
         Slots.size() >= SlotsUntilQuarantine &&
         Successes < Entry.Crashes.size();
}

void Quarantine::hold(Fingerprint Print, TimePoint Until) {
  if (this->Held.size() >= MaxEntries && !this->Held.contains(Print))
    this->Held.erase(std::min_element(
        this->Held.begin(), this->Held.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
  TimePoint &Entry = this->Held[Print];
  Entry = std::max(Entry, Until);
}

void Quarantine::forgetOldSuspects(TimePoint Now) {
  std::erase_if(this->Suspects, [&](const auto &Entry) {
    return Now - Entry.second.Crashes.back().At > CrashWindow;
  });
  std::erase_if(this->Held,
                [&](const auto &Entry) { return Entry.second <= Now; });
}

} // namespace balsamyard
