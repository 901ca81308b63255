#include "apps/balsamyard-entry/CallerServer.h"

#include "apps/balsamyard-entry/StatusPage.h"

#include <sys/socket.h>

namespace balsamyard::entry {

namespace {

/// An idle kept connection holds a thread; this bounds for how long.
constexpr std::chrono::seconds KeepAliveTimeout{1};

/// Requests per kept connection. The library's default of 5 makes a load
/// balancer reconnect all the time.
constexpr std::size_t KeepAliveRequests = 10000;

/// Time for a caller to send the next part of its request.
constexpr std::chrono::seconds ReadTimeout{5};

/// The packaged library listens with a backlog of 5, which drops connections
/// in a burst.
constexpr int ListenBacklog = 1024;

/// Messages between own processes are limited to MaxMessageBytes; this is kept
/// back for what accompanies the body.
constexpr std::size_t MessageOverhead = 131072;

std::optional<std::string> header(const httplib::Request &From,
                                  const char *Name) {
  if (!From.has_header(Name))
    return std::nullopt;
  return From.get_header_value(Name);
}

std::string describe(const std::exception_ptr &Fault) {
  try {
    std::rethrow_exception(Fault);
  } catch (const std::exception &Known) {
    return Known.what();
  } catch (...) {
    return "unknown exception";
  }
}

/// \returns the code for an error that the HTTP library found by itself.
Code codeOfStatus(int Status) {
  switch (Status) {
  case 413:
    return Code::BodyTooLarge;
  case 404:
    return Code::UnknownPath;
  default:
    return Code::BadHeader;
  }
}

} // namespace

CallerServer::CallerServer(EntryState &State, QueryRunner &Queries,
                           WriteRunner &Writes)
    : State(State), Queries(Queries), Writes(Writes) {
  this->Server.new_task_queue = [this] {
    return this->Pool = new CallerPool(this->State.Own.CallerThreads);
  };
  this->Server.set_tcp_nodelay(true);
  this->Server.set_keep_alive_timeout(KeepAliveTimeout.count());
  this->Server.set_keep_alive_max_count(KeepAliveRequests);
  this->Server.set_read_timeout(ReadTimeout);
  this->Server.set_payload_max_length(std::min<std::size_t>(
      this->State.Own.BodyBytes, MaxMessageBytes - MessageOverhead));
  this->Server.set_socket_options([this](int Socket) {
    // Without SO_REUSEPORT, which the library sets by default: two processes
    // on one port would silently share its connections.
    const int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    this->ListenSocket = Socket;
  });
  this->addRoutes();
}

CallerServer::~CallerServer() {
  if (!this->Listener.joinable())
    return;
  this->drain();
  this->Listener.join();
}

Expected<void> CallerServer::start() {
  const Endpoint &At = this->State.Own.Http;
  if (!this->Server.bind_to_port(At.Address, At.Port))
    return fail(Code::SettingsBadValue, "cannot listen on " + toText(At));
  listen(this->ListenSocket, ListenBacklog);
  this->Listener = std::thread([this] {
    this->Server.listen_after_bind();
    this->Pool = nullptr;
    this->Ended.store(true, std::memory_order_release);
  });
  return {};
}

void CallerServer::drain() {
  // Server::stop() would close connections that wait for a thread without
  // serving them. When accept() fails instead, the library ends its loop but
  // first serves all connections that it has accepted. The library closes the
  // socket itself, so it is shut down only while it listens.
  if (!this->drained())
    shutdown(this->ListenSocket, SHUT_RDWR);
}

void CallerServer::addRoutes() {
  this->Server.Post("/v1/(search|write)/([^/]+)/([^/]+)",
                    [this](const httplib::Request &From, httplib::Response &To,
                           const httplib::ContentReader &Reader) {
                      // The body is read here, because the library would take
                      // it for a form and limit it to 8 KB if the caller states
                      // no other type.
                      std::string Body;
                      const bool Whole =
                          Reader([&](const char *Data, std::size_t Length) {
                            Body.append(Data, Length);
                            return true;
                          });
                      if (Whole)
                        this->serve(From, std::move(Body), To);
                      else if (To.status < 400)
                        To.status = 400;
                    });
  this->Server.Get("/health",
                   [this](const httplib::Request &, httplib::Response &To) {
                     this->closeIfNeeded(To);
                     const HealthPage Page = healthPage(this->State);
                     To.status = Page.Status;
                     To.set_content(Page.Json, "application/json");
                   });
  this->Server.Get(
      "/v1/status", [this](const httplib::Request &, httplib::Response &To) {
        this->closeIfNeeded(To);
        To.set_content(statusPage(this->State), "application/json");
      });
  this->Server.Get(
      "/metrics", [this](const httplib::Request &, httplib::Response &To) {
        this->closeIfNeeded(To);
        To.set_content(metricsPage(this->State), "text/plain; version=0.0.4");
      });
  this->Server.set_error_handler([this](const httplib::Request &From,
                                        httplib::Response &To) {
    if (!To.body.empty())
      return;
    // The library refused the request before any handler saw it. A write
    // with an id may have an earlier copy that ran.
    const bool IsWrite = From.path.rfind("/v1/write/", 0) == 0;
    CallerAnswer Answer =
        refuse(codeOfStatus(To.status), {From.get_header_value("Request-Id")},
               IsWrite && From.has_header("Request-Id") ? Outcome::Unknown
                                                        : Outcome::NotRun);
    this->send(Answer, To);
    this->report({}, Answer, Duration(0));
  });
  this->Server.set_exception_handler([this](const httplib::Request &From,
                                            httplib::Response &To,
                                            const std::exception_ptr &Fault) {
    logEvent(LogLevel::Error, "request-failed",
             {{"request", From.get_header_value("Request-Id")},
              {"detail", describe(Fault)}});
    this->send(refuse(Code::OutcomeUnknown,
                      {From.get_header_value("Request-Id")}, Outcome::Unknown),
               To);
  });
}

void CallerServer::serve(const httplib::Request &From, std::string Body,
                         httplib::Response &To) {
  const TimePoint Now = steadyNow();
  const TimePoint Arrived = CallerPool::takeAcceptTime().value_or(Now);
  InFlightPlace Place(this->State.InFlight);
  this->closeIfNeeded(To);
  CallerRequest Checked;
  const CallerAnswer Answer =
      this->answer(From, std::move(Body), Arrived, Place.taken(), Checked);
  this->send(Answer, To);
  this->report(Checked, Answer, steadyNow() - Arrived);
}

CallerAnswer CallerServer::answer(const httplib::Request &From,
                                  std::string Body, TimePoint Arrived,
                                  bool Admitted, CallerRequest &Checked) {
  RawRequest Raw;
  Raw.Kind =
      From.matches[1] == "search" ? RequestKind::Search : RequestKind::Write;
  Raw.Service = From.matches[2];
  Raw.Route = From.matches[3];
  Raw.Body = std::move(Body);
  Raw.Arrived = Arrived;
  for (auto [Name, Value] : {std::pair{"Deadline-Ms", &Raw.DeadlineMs},
                             std::pair{"Request-Id", &Raw.RequestId},
                             std::pair{"Repeatable", &Raw.Repeatable},
                             std::pair{"Coverage", &Raw.Coverage}}) {
    *Value = header(From, Name);
    Raw.RepeatedHeader |= From.get_header_value_count(Name) > 1;
  }
  tl::expected<CallerRequest, CallerAnswer> Request =
      checkRequest(std::move(Raw), *this->State.Index.read()->View,
                   makeRequestId(wallNow()));
  if (!Request) {
    Checked.Id = Request.error().Request;
    Checked.Service.Text = From.matches[2];
    Checked.Route.Text = From.matches[3];
    return std::move(Request.error());
  }
  Checked = std::move(*Request);
  if (!Admitted)
    return refuse(Code::Overloaded, Checked.Id,
                  Checked.Repeatable ? Outcome::NotRun : Outcome::Unknown);
  return Checked.Kind == RequestKind::Search ? this->Queries.run(Checked)
                                             : this->Writes.run(Checked);
}

void CallerServer::send(const CallerAnswer &Answer, httplib::Response &To) {
  To.status = httpStatus(Answer.Result);
  To.set_content(toJson(Answer), "application/json");
}

void CallerServer::report(const CallerRequest &Request,
                          const CallerAnswer &Answer, Duration Took) {
  // Only names of the catalog become labels; a caller could otherwise create
  // any number of series.
  const bool IsKnown =
      this->State.Index.read()->service(Request.Service) != nullptr;
  const std::string Service =
      "service=\"" + (IsKnown ? Request.Service.Text : "") + "\"";
  this->State.Numbers.add("balsamyard_requests_total",
                          Service + ",code=\"" +
                              std::to_string(static_cast<int>(Answer.Result)) +
                              "\"");
  this->State.Numbers.observe("balsamyard_request_seconds", Service, Took);
  const bool Answered = isSuccess(Answer.Result);
  logEvent(Answered ? LogLevel::Info : LogLevel::Warning,
           !Answered                             ? "request-refused"
           : Request.Kind == RequestKind::Search ? "query-answered"
                                                 : "write-answered",
           {{"request", Answer.Request.Text},
            {"service", Request.Service.Text},
            {"route", Request.Route.Text},
            {"version", Answer.Version.Text},
            {"code", Answer.Result},
            {"outcome", std::string(outcomeName(Answer.Ran))},
            {"coverage", Answer.Covered ? Answer.Covered->share() : 0.0},
            {"duration", Took},
            {"detail", Answer.Detail}});
}

void CallerServer::closeIfNeeded(httplib::Response &To) const {
  // While the process stops, callers reconnect elsewhere; while connections
  // wait for a thread, a kept one would hold it for nothing.
  const CallerPool *Waiting = this->Pool.load(std::memory_order_relaxed);
  if (this->State.Stopping.load(std::memory_order_relaxed) ||
      (Waiting && Waiting->waiting() > 0))
    To.set_header("Connection", "close");
}

} // namespace balsamyard::entry
