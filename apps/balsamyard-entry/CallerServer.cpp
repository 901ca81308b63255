#include "apps/balsamyard-entry/CallerServer.h"

#include "apps/balsamyard-entry/StatusPage.h"

#include <sys/socket.h>

namespace balsamyard::entry {

namespace {

/// Bounds how long an idle keep-alive connection occupies a thread.
constexpr std::chrono::seconds KeepAliveTimeout{1};

/// Requests per keep-alive connection. With the library's default of 5, a load
/// balancer would reconnect constantly.
constexpr std::size_t KeepAliveRequests = 10000;

/// Time for a caller to send the next part of its request.
constexpr std::chrono::seconds ReadTimeout{5};

/// The packaged library listens with a backlog of 5, which drops connections
/// in a burst.
constexpr int ListenBacklog = 1024;

/// Part of MaxMessageBytes, the limit of a message between processes, that is
/// reserved for the fields other than the body.
constexpr std::size_t MessageOverhead = 131072;

std::optional<std::string> header(const httplib::Request &HttpRequest,
                                  const char *Name) {
  if (!HttpRequest.has_header(Name))
    return std::nullopt;
  return HttpRequest.get_header_value(Name);
}

std::string describe(const std::exception_ptr &Fault) {
  try {
    std::rethrow_exception(Fault);
  } catch (const std::exception &Exception) {
    return Exception.what();
  } catch (...) {
    return "unknown exception";
  }
}

/// \returns the code for an error that the HTTP library detected.
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
    // SO_REUSEPORT, which the library sets by default, is left out: with it,
    // two processes on one port would silently share the connections.
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
  const Endpoint &Http = this->State.Own.Http;
  if (!this->Server.bind_to_port(Http.Address, Http.Port))
    return fail(Code::SettingsBadValue, "cannot listen on " + toText(Http));
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
                    [this](const httplib::Request &HttpRequest,
                           httplib::Response &HttpResponse,
                           const httplib::ContentReader &Reader) {
                      // The body is read here, because the library would take
                      // it for a form and limit it to 8 KB if the caller states
                      // no other type.
                      std::string Body;
                      const bool Complete =
                          Reader([&](const char *Data, std::size_t Length) {
                            Body.append(Data, Length);
                            return true;
                          });
                      if (Complete)
                        this->serve(HttpRequest, std::move(Body), HttpResponse);
                      else if (HttpResponse.status < 400)
                        HttpResponse.status = 400;
                    });
  this->Server.Get("/health", [this](const httplib::Request &,
                                     httplib::Response &HttpResponse) {
    this->closeIfNeeded(HttpResponse);
    const HealthPage Page = healthPage(this->State);
    HttpResponse.status = Page.Status;
    HttpResponse.set_content(Page.Json, "application/json");
  });
  this->Server.Get("/v1/status", [this](const httplib::Request &,
                                        httplib::Response &HttpResponse) {
    this->closeIfNeeded(HttpResponse);
    HttpResponse.set_content(statusPage(this->State), "application/json");
  });
  this->Server.Get("/metrics", [this](const httplib::Request &,
                                      httplib::Response &HttpResponse) {
    this->closeIfNeeded(HttpResponse);
    HttpResponse.set_content(metricsPage(this->State),
                             "text/plain; version=0.0.4");
  });
  this->Server.set_error_handler([this](const httplib::Request &HttpRequest,
                                        httplib::Response &HttpResponse) {
    if (!HttpResponse.body.empty())
      return;
    // The library refused the request before any handler saw it. A write
    // with an id may have an earlier copy that ran.
    const bool IsWrite = HttpRequest.path.rfind("/v1/write/", 0) == 0;
    CallerAnswer Answer = refuse(codeOfStatus(HttpResponse.status),
                                 {HttpRequest.get_header_value("Request-Id")},
                                 IsWrite && HttpRequest.has_header("Request-Id")
                                     ? Outcome::Unknown
                                     : Outcome::NotRun);
    this->send(Answer, HttpResponse);
    this->report({}, Answer, Duration(0));
  });
  this->Server.set_exception_handler([this](const httplib::Request &HttpRequest,
                                            httplib::Response &HttpResponse,
                                            const std::exception_ptr &Fault) {
    logEvent(LogLevel::Error, "request-failed",
             {{"request", HttpRequest.get_header_value("Request-Id")},
              {"detail", describe(Fault)}});
    this->send(refuse(Code::OutcomeUnknown,
                      {HttpRequest.get_header_value("Request-Id")},
                      Outcome::Unknown),
               HttpResponse);
  });
}

void CallerServer::serve(const httplib::Request &HttpRequest, std::string Body,
                         httplib::Response &HttpResponse) {
  const TimePoint Now = steadyNow();
  const TimePoint Arrived = CallerPool::takeAcceptTime().value_or(Now);
  InFlightGuard Guard(this->State.InFlight);
  this->closeIfNeeded(HttpResponse);
  CallerRequest Checked;
  const CallerAnswer Answer = this->answer(HttpRequest, std::move(Body),
                                           Arrived, Guard.admitted(), Checked);
  this->send(Answer, HttpResponse);
  this->report(Checked, Answer, steadyNow() - Arrived);
}

CallerAnswer CallerServer::answer(const httplib::Request &HttpRequest,
                                  std::string Body, TimePoint Arrived,
                                  bool Admitted, CallerRequest &Checked) {
  RawRequest Raw;
  Raw.Kind = HttpRequest.matches[1] == "search" ? RequestKind::Search
                                                : RequestKind::Write;
  Raw.Service = HttpRequest.matches[2];
  Raw.Route = HttpRequest.matches[3];
  Raw.Body = std::move(Body);
  Raw.Arrived = Arrived;
  for (auto [Name, Value] : {std::pair{"Deadline-Ms", &Raw.DeadlineMs},
                             std::pair{"Request-Id", &Raw.RequestId},
                             std::pair{"Repeatable", &Raw.Repeatable},
                             std::pair{"Coverage", &Raw.Coverage}}) {
    *Value = header(HttpRequest, Name);
    Raw.RepeatedHeader |= HttpRequest.get_header_value_count(Name) > 1;
  }
  tl::expected<CallerRequest, CallerAnswer> Request =
      validateRequest(std::move(Raw), *this->State.Index.read()->View,
                      makeRequestId(wallNow()));
  if (!Request) {
    Checked.Id = Request.error().Request;
    Checked.Service.Text = HttpRequest.matches[2];
    Checked.Route.Text = HttpRequest.matches[3];
    return std::move(Request.error());
  }
  Checked = std::move(*Request);
  if (!Admitted)
    return refuse(Code::Overloaded, Checked.Id,
                  Checked.Repeatable ? Outcome::NotRun : Outcome::Unknown);
  return Checked.Kind == RequestKind::Search ? this->Queries.run(Checked)
                                             : this->Writes.run(Checked);
}

void CallerServer::send(const CallerAnswer &Answer,
                        httplib::Response &HttpResponse) {
  HttpResponse.status = httpStatus(Answer.Result);
  HttpResponse.set_content(toJson(Answer), "application/json");
}

void CallerServer::report(const CallerRequest &Request,
                          const CallerAnswer &Answer, Duration Elapsed) {
  // Only names of the catalog become labels; a caller could otherwise create
  // any number of series.
  const bool IsKnown =
      this->State.Index.read()->service(Request.Service) != nullptr;
  const std::string Service =
      "service=\"" + (IsKnown ? Request.Service.Text : "") + "\"";
  this->State.ProcessMetrics.add(
      "balsamyard_requests_total",
      Service + ",code=\"" + std::to_string(static_cast<int>(Answer.Result)) +
          "\"");
  this->State.ProcessMetrics.observe("balsamyard_request_seconds", Service,
                                     Elapsed);
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
            {"duration", Elapsed},
            {"detail", Answer.Detail}});
}

void CallerServer::closeIfNeeded(httplib::Response &HttpResponse) const {
  // A stopping process makes its callers reconnect elsewhere. While connections
  // are queued, an idle keep-alive connection would occupy a thread.
  const CallerPool *Workers = this->Pool.load(std::memory_order_relaxed);
  if (this->State.Stopping.load(std::memory_order_relaxed) ||
      (Workers && Workers->queued() > 0))
    HttpResponse.set_header("Connection", "close");
}

} // namespace balsamyard::entry
