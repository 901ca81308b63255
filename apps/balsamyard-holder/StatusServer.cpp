#include "apps/balsamyard-holder/StatusServer.h"

#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace balsamyard::holder {

namespace {

using Json = nlohmann::json;

/// Each connection of an operator or the load balancer occupies one thread.
constexpr std::size_t StatusThreads = 4;
constexpr std::chrono::seconds KeepAliveTimeout{1};

} // namespace

StatusServer::StatusServer(HolderState &State, SlotTable &Slots,
                           GateService &Gates)
    : State(State), Slots(Slots), Gates(Gates) {
  this->Server.new_task_queue = [] {
    return new httplib::ThreadPool(StatusThreads);
  };
  this->Server.set_tcp_nodelay(true);
  this->Server.set_keep_alive_timeout(KeepAliveTimeout.count());
  this->Server.set_socket_options([this](int Socket) {
    const int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    this->ListenSocket = Socket;
  });
  this->Server.Get("/health",
                   [this](const auto &, httplib::Response &Response) {
                     const bool Ready = this->State.Agent.view().read()->Ready;
                     const bool Leaving = this->State.Leaving.load();
                     Response.status = Ready && !Leaving ? 200 : 503;
                     Response.set_content(Leaving ? R"({"state":"leaving"})"
                                          : Ready ? R"({"state":"ready"})"
                                                  : R"({"state":"not-ready"})",
                                          "application/json");
                   });
  this->Server.Get(
      "/v1/status", [this](const auto &, httplib::Response &Response) {
        Response.set_content(this->statusPage(), "application/json");
      });
  this->Server.Get(
      "/metrics", [this](const auto &, httplib::Response &Response) {
        this->updateSlotMetrics();
        Response.set_content(this->State.ProcessMetrics.toText(), "text/plain");
      });
}

StatusServer::~StatusServer() { this->stop(); }

Expected<void> StatusServer::start() {
  const Endpoint &Listen = this->State.Own.Http;
  if (!this->Server.bind_to_port(Listen.Address, Listen.Port))
    return fail(Code::SettingsBadValue, "cannot listen on " + toText(Listen));
  this->Listener = std::thread([this] { this->Server.listen_after_bind(); });
  return {};
}

void StatusServer::stop() {
  if (!this->Listener.joinable())
    return;
  // Server::stop() has no effect before the server accepts connections.
  ::shutdown(this->ListenSocket, SHUT_RDWR);
  this->Listener.join();
  this->ListenSocket = -1;
}

std::string StatusServer::statusPage() const {
  const Ref<const RoutingView> View = this->State.Agent.view().read();
  Json Page = {{"node", this->State.Own.Node.Text},
               {"domain", this->State.Own.Domain.Text},
               {"config", static_cast<std::uint64_t>(View->Version)},
               {"ready", View->Ready},
               {"leaving", this->State.Leaving.load()},
               {"drained", this->State.isDrained(*View)},
               {"in_flight", this->State.InFlight.load()}};
  Json SlotList = Json::array();
  const Ref<const SlotMap> Map = this->Slots.all();
  for (const auto &[Key, Runner] : Map->Runners) {
    const SlotStatus Status = Runner->status();
    SlotList.push_back({{"target", toText(Key)},
                        {"version", Runner->version().Text},
                        {"state", Status.State},
                        {"limit", Status.Limit},
                        {"in_flight", Status.InFlight},
                        {"queued", Status.Queued},
                        {"connections", Status.Connections},
                        {"connection_share", Status.Share.Connections},
                        {"cold_share", Status.Share.ColdInFlight},
                        {"incarnation", Status.Incarnation}});
  }
  Page["slots"] = std::move(SlotList);
  Json GateList = Json::array();
  const auto GateStates = this->Gates.status();
  for (std::size_t Number = 0; Number < GateStates.size(); ++Number)
    if (GateStates[Number].State != "elsewhere")
      GateList.push_back({{"gate", Number},
                          {"state", GateStates[Number].State},
                          {"entries", GateStates[Number].Entries}});
  Page["gates"] = std::move(GateList);
  Json Held = Json::array();
  const TimePoint Now = steadyNow();
  for (const auto &[Print, Until] : this->State.QuarantinedRequests.held(Now))
    Held.push_back(
        {{"fingerprint", static_cast<std::uint64_t>(Print)},
         {"remaining_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(Until - Now)
              .count()}});
  Page["quarantine"] = std::move(Held);
  Json Versions = Json::array();
  for (const Evidence &Counts : this->State.Evidence.read())
    Versions.push_back({{"service", Counts.Service.Text},
                        {"route", Counts.Route.Text},
                        {"version", Counts.Version.Text},
                        {"requests", Counts.Requests},
                        {"errors", Counts.Errors},
                        {"slow", Counts.Slow}});
  Page["versions"] = std::move(Versions);
  return Page.dump() + "\n";
}

void StatusServer::updateSlotMetrics() {
  std::map<std::string_view, double> States = {
      {"cold", 0}, {"warming", 0}, {"warm", 0}, {"leaving", 0}};
  double Connections = 0;
  double InFlight = 0;
  const Ref<const SlotMap> Map = this->Slots.all();
  for (const auto &Entry : Map->Runners) {
    const SlotStatus Status = Entry.second->status();
    States[Status.State] += 1;
    Connections += Status.Connections;
    InFlight += Status.InFlight;
  }
  for (const auto &[State, Count] : States)
    this->State.ProcessMetrics.set(
        "balsamyard_slots", "state=\"" + std::string(State) + "\"", Count);
  this->State.ProcessMetrics.set("balsamyard_target_connections", "",
                                 Connections);
  this->State.ProcessMetrics.set("balsamyard_target_in_flight", "", InFlight);
}

} // namespace balsamyard::holder
