#include "balsamyard/src/Connection/TargetProtocol.h"

#include "balsamyard/src/Core/Overload.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace balsamyard {

namespace {

/// \returns the non-negative integer at the start of \p Text, if any.
std::optional<std::int64_t> wholeNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const auto Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Value < 0)
    return std::nullopt;
  return Value;
}

/// \returns the finite number >= 0 that \p Text consists of, if it does.
std::optional<double> decimalNumber(std::string_view Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End || !std::isfinite(Value) ||
      Value < 0)
    return std::nullopt;
  return Value;
}

std::int64_t toMillis(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

void appendStatusLine(std::string &Message, int Status) {
  Message.append("HTTP/1.1 ")
      .append(std::to_string(Status))
      .append(" ")
      .append(reasonPhrase(Status))
      .append("\r\n");
}

/// Appends the fields that frame the body, and the empty line.
void appendHeadEnd(std::string &Message, std::size_t BodyBytes,
                   bool KeepAlive) {
  appendField(Message, "Content-Length", std::to_string(BodyBytes));
  if (!KeepAlive)
    appendField(Message, "Connection", "close");
  Message.append("\r\n");
}

/// Seconds with three decimals; callers accept fractions in Retry-After.
std::string secondsText(Duration Value) {
  std::array<char, 32> Text{};
  const auto Result =
      std::to_chars(Text.data(), Text.data() + Text.size(),
                    std::chrono::duration<double>(Value).count(),
                    std::chars_format::fixed, 3);
  return {Text.data(), Result.ptr};
}

} // namespace

std::string plainAnswer(int Status, std::string_view Text, bool KeepAlive,
                        Duration RetryAfter, std::string_view ContentType) {
  std::string Message;
  appendStatusLine(Message, Status);
  if (RetryAfter > Duration::zero())
    appendField(Message, "Retry-After", secondsText(RetryAfter));
  appendField(Message, "Content-Type", ContentType);
  appendHeadEnd(Message, Text.size(), KeepAlive);
  Message.append(Text);
  return Message;
}

std::optional<Duration> advertisedIdleTimeout(const HttpResponse &Response) {
  constexpr std::string_view Key = "timeout=";
  const std::string *Value = Response.Fields.find("keep-alive");
  if (Value == nullptr)
    return std::nullopt;
  const std::size_t At = Value->find(Key);
  if (At == std::string::npos)
    return std::nullopt;
  const auto Seconds =
      wholeNumber(std::string_view(*Value).substr(At + Key.size()));
  if (!Seconds)
    return std::nullopt;
  return std::chrono::seconds(*Seconds);
}

std::string_view TargetProtocol::requestId(const HttpRequest &Request) const {
  const std::string *Value = Request.Fields.find(this->Names.RequestId);
  return Value == nullptr ? std::string_view() : std::string_view(*Value);
}

std::optional<Duration>
TargetProtocol::timeLeft(const HttpRequest &Request) const {
  const std::string *Value = Request.Fields.find(this->Names.TimeLeft);
  if (Value == nullptr)
    return std::nullopt;
  const auto Millis = wholeNumber(*Value);
  if (!Millis)
    return std::nullopt;
  return std::chrono::milliseconds(*Millis);
}

Duration TargetProtocol::remainingWarmup(const HttpResponse &Response) const {
  const std::string *Value = Response.Fields.find(this->Names.RemainingWarmup);
  if (Value == nullptr)
    return Duration::zero();
  return std::chrono::milliseconds(wholeNumber(*Value).value_or(0));
}

std::string_view TargetProtocol::targetId(const HttpResponse &Response) const {
  const std::string *Value = Response.Fields.find(this->Names.TargetId);
  return Value == nullptr ? std::string_view() : std::string_view(*Value);
}

void TargetProtocol::readLoad(const HttpResponse &Response, KnownTarget &Target,
                              TimePoint Now) const {
  const std::string *Value = Response.Fields.find(this->Names.Load);
  if (Value == nullptr)
    return;
  const std::size_t Comma = Value->find(',');
  if (Comma == std::string::npos)
    return;
  const auto Running = wholeNumber(*Value);
  const auto Waiting = wholeNumber(std::string_view(*Value).substr(Comma + 1));
  if (Running && Waiting)
    Target.reportLoad(static_cast<std::uint32_t>(*Running),
                      static_cast<std::uint32_t>(*Waiting), Now);
}

bool TargetProtocol::readRequestLimit(const HttpResponse &Response,
                                      KnownTarget &Target,
                                      TimePoint Now) const {
  const std::string *Value = Response.Fields.find(this->Names.RequestLimit);
  // Another target that has taken over the address speaks for itself, and
  // failures need not repeat the limit.
  if (Response.Status == MisdirectedStatus ||
      (Value == nullptr && Response.Status / 100 != 2))
    return false;
  if (Value == nullptr)
    return Target.setRequestLimit(std::nullopt, Now);
  const std::optional<double> Limit = decimalNumber(*Value);
  return Limit && Target.setRequestLimit(Limit, Now);
}

std::optional<Duration>
TargetProtocol::requestedPause(const HttpResponse &Response) const {
  if (Response.Status != UnavailableStatus)
    return std::nullopt;
  const std::string *Value = Response.Fields.find("retry-after");
  const std::optional<double> Seconds =
      Value == nullptr ? std::nullopt : decimalNumber(*Value);
  if (!Seconds || *Seconds == 0)
    return std::nullopt;
  // A longer time would exclude the target for good after one odd answer.
  constexpr std::chrono::duration<double> MaxPause = std::chrono::hours(1);
  return std::chrono::duration_cast<Duration>(
      std::min(std::chrono::duration<double>(*Seconds), MaxPause));
}

bool TargetProtocol::announcesDeparture(const HttpResponse &Response) const {
  const std::string *Value = Response.Fields.find(this->Names.Departure);
  // Another target that has taken over the address speaks for itself.
  return Value != nullptr && *Value == "1" &&
         Response.Status != MisdirectedStatus;
}

std::string TargetProtocol::sharedHead(const HttpRequest &Request) const {
  std::string Message;
  Message.reserve(512);
  Message.append(Request.Method)
      .append(" ")
      .append(Request.Target)
      .append(" HTTP/1.1\r\n");
  const HopByHopFields HopByHop(Request.Fields);
  for (const HttpField &Field : Request.Fields) {
    if (HopByHop.contains(Field.Name) ||
        sameHeaderName(Field.Name, "content-length") ||
        sameHeaderName(Field.Name, "expect") ||
        sameHeaderName(Field.Name, this->Names.TimeLeft) ||
        sameHeaderName(Field.Name, this->Names.ExpectedTarget))
      continue;
    appendField(Message, Field.Name, Field.Value);
  }
  if (!Request.Body.empty() ||
      Request.Fields.find("content-length") != nullptr ||
      Request.Fields.find("transfer-encoding") != nullptr)
    appendField(Message, "Content-Length", std::to_string(Request.Body.size()));
  return Message;
}

std::string TargetProtocol::message(std::string_view SharedHead,
                                    std::string_view Body,
                                    const TargetInfo &Target,
                                    Duration TimeLeft) const {
  std::string Message;
  Message.reserve(SharedHead.size() + Body.size() + 128);
  Message.append(SharedHead);
  appendField(Message, this->Names.TimeLeft,
              std::to_string(std::max<std::int64_t>(toMillis(TimeLeft), 0)));
  appendField(Message, this->Names.ExpectedTarget, Target.Id.Text);
  Message.append("\r\n").append(Body);
  return Message;
}

std::string TargetProtocol::healthRequest(const TargetInfo &Target,
                                          std::string_view Path) const {
  std::string Message;
  Message.append("GET ").append(Path).append(" HTTP/1.1\r\n");
  appendField(Message, "Host", toText(Target.Address));
  Message.append("\r\n");
  return Message;
}

std::optional<PartAnswer>
TargetProtocol::read(HttpResponse Response, std::string_view RequestId) const {
  const std::string *Echo = Response.Fields.find(this->Names.RequestId);
  if (Echo != nullptr && *Echo != RequestId)
    return std::nullopt;
  PartAnswer Answer;
  if (Response.Status == MisdirectedStatus ||
      Response.Fields.find(this->Names.NotExecuted) != nullptr) {
    Answer.Kind = AnswerKind::NotExecuted;
    Answer.Response = std::move(Response);
    return Answer;
  }
  const std::string *Receipt = Response.Fields.find(this->Names.Receipt);
  if (Response.Status / 100 == 2) {
    // A 2xx response is valid only with a receipt and with an unencoded body,
    // as the target sent it.
    if (Echo == nullptr || Receipt == nullptr || Receipt->empty() ||
        Response.Fields.find("content-encoding") != nullptr)
      return std::nullopt;
    Answer.Kind = AnswerKind::Complete;
    Answer.Receipt = *Receipt;
  }
  Answer.Response = std::move(Response);
  return Answer;
}

EncodedMessage TargetProtocol::answer(CallerAnswer Outcome, bool KeepAlive,
                                      bool WithBody) const {
  EncodedMessage Result;
  std::string &Head = Result.Head;
  const auto AppendBody = [&](std::string &&Body) {
    appendHeadEnd(Head, Body.size(), KeepAlive);
    if (WithBody)
      Result.Body = std::move(Body);
  };
  std::visit(
      Overload{[&](MergedAnswer &Merged) {
                 appendStatusLine(Head, 200);
                 std::string List;
                 for (const std::string &Receipt : Merged.Receipts)
                   List.append(List.empty() ? "" : ", ").append(Receipt);
                 appendField(Head, this->Names.Receipts, List);
                 appendField(Head, this->Names.MissingParts,
                             std::to_string(Merged.MissingParts));
                 appendField(Head, "Content-Type", "application/octet-stream");
                 AppendBody(std::move(Merged.Records));
               },
               [&](ForwardedAnswer &Forwarded) {
                 HttpResponse &Response = Forwarded.Response;
                 appendStatusLine(Head, Response.Status);
                 const HopByHopFields HopByHop(Response.Fields);
                 for (const HttpField &Field : Response.Fields)
                   if (!HopByHop.contains(Field.Name) &&
                       !sameHeaderName(Field.Name, "content-length"))
                     appendField(Head, Field.Name, Field.Value);
                 AppendBody(std::move(Response.Body));
                 Result.Share = std::move(Response.Share);
               },
               [&](const NotExecutedAnswer &Refused) {
                 Head = plainAnswer(503, Refused.Reason, KeepAlive,
                                    Refused.RetryAfter);
               },
               [&](const FailedAnswer &Failed) {
                 Head = plainAnswer(Failed.Status, Failed.Reason, KeepAlive);
               }},
      Outcome);
  return Result;
}

} // namespace balsamyard
