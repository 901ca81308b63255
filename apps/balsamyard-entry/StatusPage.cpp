#include "apps/balsamyard-entry/StatusPage.h"

#include <nlohmann/json.hpp>

namespace balsamyard::entry {

namespace {

using OrderedJson = nlohmann::ordered_json;

double toMillis(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

OrderedJson serviceJson(const ServiceIndex &Service) {
  OrderedJson Versions = OrderedJson::array();
  for (const VersionRoutes &Routes : Service.Versions)
    Versions.push_back({{"version", Routes.Version.Text},
                        {"leaves_served", Routes.ServedLeaves},
                        {"usable_slots", Routes.Slots.size()}});
  return {{"service", Service.Service.Text},
          {"snapshot", static_cast<std::uint64_t>(Service.Snapshot)},
          {"leaves", Service.Leaves.size()},
          {"shards", Service.Shards.size()},
          {"versions", Versions},
          {"in_flight", Service.Stats->inFlight()},
          {"half_time_ms", toMillis(Service.Stats->medianLeafTime())},
          {"hedge_delay_ms",
           toMillis(HedgePolicy::forService(*Service.Stats).Delay)}};
}

} // namespace

HealthPage healthPage(const EntryState &State) {
  if (State.Stopping.load(std::memory_order_relaxed))
    return {503, R"({"state":"leaving"})"};
  if (!State.Index.read()->View->Ready ||
      !State.FoundSlots.load(std::memory_order_relaxed))
    return {503, R"({"state":"not-ready"})"};
  return {200, R"({"state":"ready"})"};
}

std::string statusPage(const EntryState &State) {
  Ref<const RoutingIndex> Index = State.Index.read();
  const RoutingView &View = *Index->View;
  OrderedJson Services = OrderedJson::array();
  for (const auto &[Name, Service] : Index->Services)
    Services.push_back(serviceJson(*Service));
  std::size_t Alive = 0;
  for (const auto &[Name, Node] : View.Nodes)
    Alive += Node.Alive ? 1 : 0;
  const OrderedJson Page = {
      {"process", "entry"},
      {"software", BALSAMYARD_VERSION},
      {"node", State.Own.Node.Text},
      {"domain", State.Own.Domain.Text},
      {"region", State.Own.Region.Text},
      {"ready", View.Ready},
      {"stopping", State.Stopping.load(std::memory_order_relaxed)},
      {"config", static_cast<std::uint64_t>(View.Version)},
      {"nodes", {{"alive", Alive}, {"known", View.Nodes.size()}}},
      {"in_flight", State.InFlight.count()},
      {"in_flight_limit", State.InFlight.limit()},
      {"quarantined", State.Quarantine.size()},
      {"extra_load",
       {{"first_attempts", State.Budget.firstAttempts()},
        {"granted", State.Budget.spent()},
        {"denied", State.Budget.denied()}}},
      {"services", Services}};
  return Page.dump(2);
}

std::string metricsPage(EntryState &State) {
  Metrics &ProcessMetrics = State.ProcessMetrics;
  Ref<const RoutingIndex> Index = State.Index.read();
  ProcessMetrics.set(
      "balsamyard_config_version", "",
      static_cast<double>(static_cast<std::uint64_t>(Index->View->Version)));
  ProcessMetrics.set("balsamyard_ready", "", Index->View->Ready ? 1 : 0);
  ProcessMetrics.set("balsamyard_in_flight", "", State.InFlight.count());
  ProcessMetrics.set("balsamyard_first_attempts", "",
                     static_cast<double>(State.Budget.firstAttempts()));
  ProcessMetrics.set("balsamyard_extra_granted", "",
                     static_cast<double>(State.Budget.spent()));
  for (const auto &[Name, Service] : Index->Services) {
    const std::string Labels = "service=\"" + Name.Text + "\"";
    ProcessMetrics.set("balsamyard_service_in_flight", Labels,
                       Service->Stats->inFlight());
    ProcessMetrics.set("balsamyard_hedge_delay_seconds", Labels,
                       std::chrono::duration<double>(
                           HedgePolicy::forService(*Service->Stats).Delay)
                           .count());
  }
  return ProcessMetrics.toText();
}

} // namespace balsamyard::entry
