#include "balsamyard/src/Connection/TargetConnection.h"

#include <algorithm>
#include <httplib.h>
#include <sys/socket.h>

namespace balsamyard {

namespace {

/// httplib takes a timeout of 0 as "no wait", so a request that is about to
/// expire still gets this time.
constexpr Duration LeastTimeout = std::chrono::milliseconds(1);

/// A socket timeout may fire this much before the deadline.
constexpr Duration TimeoutSlack = std::chrono::milliseconds(2);

} // namespace

struct TargetConnection::Impl {
  explicit Impl(const Endpoint &Target) : Http(Target.Address, Target.Port) {
    this->Http.set_keep_alive(true);
    this->Http.set_tcp_nodelay(true);
    this->Http.set_follow_location(false);
    this->Http.set_decompress(false);
  }

  httplib::Client Http;
};

Code TargetCall::ended() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Why;
}

void TargetCall::end(Code Why) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Why != Code::Ok)
    return;
  this->Why = Why;
  if (this->Running)
    this->Running->Implementation->Http.stop();
}

bool TargetCall::enter(TargetConnection &Connection) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Why != Code::Ok)
    return false;
  this->Running = &Connection;
  return true;
}

void TargetCall::leave() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Running = nullptr;
}

TargetConnection::TargetConnection(const Endpoint &Target)
    : Implementation(std::make_unique<Impl>(Target)) {}

TargetConnection::~TargetConnection() = default;

TargetExchange TargetConnection::exchange(TargetCall &Call,
                                          const TargetMessage &Message,
                                          TimePoint Deadline) {
  TargetExchange Result;
  const TimePoint Start = steadyNow();
  if (!Call.enter(*this)) {
    Result.Result = Call.ended();
    return Result;
  }
  const Duration Left = std::max(Deadline - Start, LeastTimeout);
  httplib::Client &Http = this->Implementation->Http;
  Http.set_connection_timeout(Left);
  Http.set_read_timeout(Left);
  Http.set_write_timeout(Left);

  httplib::Request Request;
  Request.method = Message.Body.empty() ? "GET" : "POST";
  Request.path = Message.Path;
  for (const auto &[Name, Value] : Message.Headers)
    Request.headers.emplace(Name, Value);
  if (!Message.Body.empty()) {
    Request.headers.emplace("Content-Type", "application/json");
    Request.content_length_ = Message.Body.size();
    // The body is sent only from here, so a call that has already ended cannot
    // reach the target, even if httplib reconnects.
    Request.content_provider_ = [&](std::size_t Offset, std::size_t Length,
                                    httplib::DataSink &Sink) {
      if (Call.ended() != Code::Ok)
        return false;
      Result.Sent = true;
      return Sink.write(Message.Body.data() + Offset, Length);
    };
  }
  bool TooLarge = false;
  Request.content_receiver = [&](const char *Data, std::size_t Length,
                                 std::uint64_t, std::uint64_t) {
    TooLarge = Result.Body.size() + Length > MaxAnswerBytes;
    if (TooLarge || steadyNow() >= Deadline)
      return false;
    Result.Body.append(Data, Length);
    return true;
  };
  const httplib::Result Answer = Http.send(Request);
  Call.leave();
  const TimePoint End = steadyNow();
  Result.Time = End - Start;
  if (Answer) {
    Result.Status = Answer->status;
    return Result;
  }
  Result.Body.clear();
  if (const Code Why = Call.ended(); Why != Code::Ok) {
    Result.Result = Why;
  } else if (TooLarge) {
    Result.Result = Code::TargetMalformed;
  } else if (End + TimeoutSlack >= Deadline) {
    Result.Result = Code::DeadlineExceeded;
  } else {
    Result.Result = Code::TargetFailed;
    Result.ConnectionBroken = true;
  }
  return Result;
}

bool TargetConnection::isIdle() const {
  const int Socket = this->Implementation->Http.socket();
  if (Socket < 0)
    return false;
  char Byte = 0;
  const ssize_t Count = ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace balsamyard
