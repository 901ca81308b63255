#include "apps/balsamyard-entry/CallerRequest.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

namespace balsamyard::entry {

namespace {

constexpr std::size_t MaxRequestIdLength = 128;

/// \returns the number, or nothing unless all of \p Text is a number.
template <typename Number>
std::optional<Number> toNumber(const std::string &Text) {
  Number Value{};
  const char *Last = Text.data() + Text.size();
  const auto [End, Fault] = std::from_chars(Text.data(), Last, Value);
  if (Fault != std::errc() || End != Last)
    return std::nullopt;
  return Value;
}

bool isValidId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxRequestIdLength &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character < 127 && Character != '"' &&
                  Character != '\\';
         });
}

/// \returns the parsed body, or an error message.
tl::expected<nlohmann::json, std::string> parseBody(const std::string &Body) {
  bool TooDeep = false;
  auto Limit = [&](int Depth, nlohmann::json::parse_event_t /*Event*/,
                   nlohmann::json & /*Parsed*/) {
    TooDeep = TooDeep || Depth > MaxBodyDepth;
    return !TooDeep;
  };
  nlohmann::json Parsed = nlohmann::json::parse(Body, Limit, false);
  if (TooDeep)
    return tl::unexpected<std::string>("the body is nested deeper than 64");
  if (Parsed.is_discarded())
    return tl::unexpected<std::string>("the body is not valid JSON");
  return Parsed;
}

/// Validates one request; each step fills in its fields or reports an error.
class RequestValidator {
public:
  RequestValidator(RawRequest Raw, const RoutingView &View)
      : Raw(std::move(Raw)), View(View) {}

  tl::expected<CallerRequest, CallerAnswer> run(const RequestId &NewId) {
    this->Checked.Kind = this->Raw.Kind;
    // Until the headers are read, a write is assumed not to be repeatable.
    this->Checked.Repeatable = this->Raw.Kind == RequestKind::Search;
    this->Checked.Service.Text = this->Raw.Service;
    this->Checked.Route.Text = this->Raw.Route;
    this->Checked.Arrived = this->Raw.Arrived;
    // The id and repeatability come first, because they decide which outcome a
    // refusal may state.
    if (this->Raw.RequestId && isValidId(*this->Raw.RequestId))
      this->Checked.Id.Text = *this->Raw.RequestId;
    if (this->Raw.RepeatedHeader)
      return this->refusal(Code::BadHeader, "a header was sent twice");
    if (auto Fault = this->checkRepeatable())
      return this->refusal(Code::BadHeader, *Fault);
    if (!this->Raw.RequestId && this->Checked.Repeatable)
      this->Checked.Id = NewId;
    if (this->Checked.Id.empty())
      return this->refusal(
          Code::BadRequestId,
          this->Raw.RequestId
              ? "Request-Id has to be 1 to 128 printable characters"
              : "a request that may not be repeated needs a Request-Id");
    if (!this->View.Ready)
      return this->refusal(Code::NotReady);
    const ServiceCatalog *Service = this->View.service(this->Checked.Service);
    if (!Service)
      return this->refusal(Code::UnknownService);
    if (!Service->hasRoute(this->Checked.Route))
      return this->refusal(Code::UnknownRoute);
    if (auto Fault = this->checkDeadline())
      return this->refusal(Code::BadHeader, *Fault);
    if (auto Fault = this->checkCoverage())
      return this->refusal(Code::BadHeader, *Fault);
    if (auto Fault = this->checkBody())
      return this->refusal(Code::MalformedJson, *Fault);
    return std::move(this->Checked);
  }

private:
  tl::unexpected<CallerAnswer> refusal(Code Result, std::string Detail = {}) {
    // An earlier copy of a write that may not be repeated may have run, so
    // only its gate says that it did not. Without a valid id there is no
    // earlier copy that it could be mistaken for.
    const bool MayHaveRun =
        !this->Checked.Repeatable && !this->Checked.Id.empty();
    return tl::unexpected<CallerAnswer>(refuse(
        Result, this->Checked.Id,
        MayHaveRun ? Outcome::Unknown : Outcome::NotRun, std::move(Detail)));
  }

  std::optional<std::string> checkRepeatable() {
    const bool IsSearch = this->Raw.Kind == RequestKind::Search;
    if (this->Raw.Repeatable && *this->Raw.Repeatable != "yes" &&
        *this->Raw.Repeatable != "no")
      return "Repeatable has to be yes or no";
    this->Checked.Repeatable =
        IsSearch || this->View.Configuration
                        .writeFor(this->Checked.Service, this->Checked.Route)
                        .Repeatable;
    if (!this->Raw.Repeatable)
      return std::nullopt;
    if (IsSearch && *this->Raw.Repeatable == "no")
      return "a search has to be repeatable; send it as a write";
    this->Checked.Repeatable = *this->Raw.Repeatable == "yes";
    return std::nullopt;
  }

  std::optional<std::string> checkDeadline() {
    const bool IsSearch = this->Raw.Kind == RequestKind::Search;
    const Rules &Configuration = this->View.Configuration;
    Duration Allowed =
        IsSearch
            ? Configuration
                  .searchFor(this->Checked.Service, this->Checked.Route)
                  .Deadline
            : Configuration.writeFor(this->Checked.Service, this->Checked.Route)
                  .Deadline;
    if (this->Raw.DeadlineMs) {
      const auto Millis = toNumber<std::uint32_t>(*this->Raw.DeadlineMs);
      if (!Millis)
        return "Deadline-Ms has to be a whole number of milliseconds";
      Allowed = std::chrono::milliseconds(*Millis);
    }
    Allowed =
        std::min(Allowed, IsSearch ? MaxSearchDeadline : MaxWriteDeadline);
    this->Checked.Deadline = this->Raw.Arrived + Allowed;
    return std::nullopt;
  }

  std::optional<std::string> checkCoverage() {
    this->Checked.Coverage =
        this->View.Configuration
            .searchFor(this->Checked.Service, this->Checked.Route)
            .Coverage;
    if (!this->Raw.Coverage)
      return std::nullopt;
    const auto WantedCoverage = toNumber<double>(*this->Raw.Coverage);
    if (!WantedCoverage || !(*WantedCoverage >= 0.0 && *WantedCoverage <= 1.0))
      return "Coverage has to be a number from 0 to 1";
    this->Checked.Coverage = *WantedCoverage;
    return std::nullopt;
  }

  std::optional<std::string> checkBody() {
    auto Parsed = parseBody(this->Raw.Body);
    if (!Parsed)
      return Parsed.error();
    if (this->Raw.Kind == RequestKind::Write) {
      if (!Parsed->is_object() || !Parsed->contains("record") ||
          !(*Parsed)["record"].is_string())
        return "the body of a write needs a text member \"record\"";
      this->Checked.Record = (*Parsed)["record"].get<std::string>();
    }
    this->Checked.Body = Parsed->dump();
    this->Checked.Print = fingerprintOf(
        this->Checked.Service, this->Checked.Route, this->Checked.Body);
    return std::nullopt;
  }

  RawRequest Raw;
  const RoutingView &View;
  CallerRequest Checked;
};

} // namespace

tl::expected<CallerRequest, CallerAnswer>
validateRequest(RawRequest Raw, const RoutingView &View,
                const RequestId &NewId) {
  return RequestValidator(std::move(Raw), View).run(NewId);
}

RequestId makeRequestId(WallTime Now) {
  thread_local std::mt19937_64 Engine(std::random_device{}());
  const auto Millis =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  const std::uint64_t High =
      Millis << 16 | 0x7000 | (Engine() & 0x0fff); // Version 7.
  const std::uint64_t Low =
      0x8000000000000000 | (Engine() >> 2); // Variant of RFC 4122.
  char Text[37];
  std::snprintf(Text, sizeof(Text), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(High >> 32),
                static_cast<unsigned>(High >> 16 & 0xffff),
                static_cast<unsigned>(High & 0xffff),
                static_cast<unsigned>(Low >> 48),
                static_cast<unsigned long long>(Low & 0xffffffffffff));
  return {Text};
}

} // namespace balsamyard::entry
