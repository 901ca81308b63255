#include "apps/balsamyard-entry/CallerAnswer.h"

#include <nlohmann/json.hpp>

namespace balsamyard::entry {

namespace {

using OrderedJson = nlohmann::ordered_json;

OrderedJson coverageJson(const Coverage &Covered) {
  return {{"share", Covered.share()},
          {"weight", Covered.Weight},
          {"of", Covered.TotalWeight},
          {"shards_answered", Covered.ShardsAnswered},
          {"shards_asked", Covered.ShardsAsked},
          {"missing", Covered.Missing}};
}

/// Appends a member whose value is already serialized as JSON.
void appendMember(std::string &Object, std::string_view Key,
                  const std::string &Value) {
  Object.pop_back();
  Object.append(",\"").append(Key).append("\":").append(Value).append("}");
}

} // namespace

CallerAnswer refuse(Code Result, RequestId Request, Outcome Ran,
                    std::string Detail) {
  CallerAnswer Answer;
  Answer.Result = Result;
  Answer.Request = std::move(Request);
  Answer.Ran = Ran;
  Answer.Detail = std::move(Detail);
  if (Answer.Detail.empty())
    if (const CodeInfo *Info = find(Result))
      Answer.Detail = Info->Meaning;
  return Answer;
}

int httpStatus(Code Result) {
  switch (Result) {
  case Code::UnknownService:
  case Code::UnknownRoute:
  case Code::UnknownPath:
    return 404;
  case Code::BodyTooLarge:
    return 413;
  default:
    break;
  }
  switch (static_cast<int>(Result) / 1000) {
  case 1:
    return 200;
  case 2:
    return 400;
  case 3:
    return 503;
  case 4:
    return 504;
  default:
    return 502;
  }
}

std::string_view outcomeName(Outcome Ran) {
  switch (Ran) {
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Ran:
    return "ran";
  }
  return "unknown";
}

std::string toJson(const CallerAnswer &Answer) {
  OrderedJson Object = {{"code", static_cast<int>(Answer.Result)},
                        {"name", name(Answer.Result)},
                        {"request", Answer.Request.Text},
                        {"outcome", outcomeName(Answer.Ran)}};
  if (!Answer.Detail.empty())
    Object["detail"] = Answer.Detail;
  if (Answer.Snapshot)
    Object["snapshot"] = static_cast<std::uint64_t>(*Answer.Snapshot);
  if (!Answer.Version.empty())
    Object["version"] = Answer.Version.Text;
  if (Answer.Covered)
    Object["coverage"] = coverageJson(*Answer.Covered);
  // Details may quote caller input, which need not be valid UTF-8.
  std::string Text =
      Object.dump(-1, ' ', false, OrderedJson::error_handler_t::replace);
  // Rows and results are JSON text already; parsing them again would cost as
  // much as the merge.
  if (!Answer.Rows.empty())
    appendMember(Text, "rows", Answer.Rows);
  if (!Answer.WriteResult.empty())
    appendMember(Text, "result", Answer.WriteResult);
  return Text;
}

} // namespace balsamyard::entry
