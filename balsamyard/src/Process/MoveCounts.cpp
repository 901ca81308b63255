#include "balsamyard/src/Process/MoveCounts.h"

#include <optional>

namespace balsamyard {

namespace {

using Json = nlohmann::json;

/// Index of the route, then the counts of answers, errors and slow answers of
/// the new and of the old version.
constexpr std::size_t RowLength = 7;

std::optional<std::string> text(const Json &Content, const char *Name) {
  const auto Found = Content.find(Name);
  if (Found == Content.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

bool isRow(const Json &Row) {
  if (!Row.is_array() || Row.size() != RowLength)
    return false;
  for (const Json &Field : Row)
    if (!Field.is_number_unsigned())
      return false;
  return Row[0].get<std::size_t>() < TallyBuckets;
}

} // namespace

Json encodeCounts(const SharedCounts &Counts) {
  Json Rows = Json::array();
  for (std::size_t Place = 0; Place < TallyBuckets; ++Place) {
    const RouteTally &Route = Counts.Counts.Tally[Place];
    if (Route == RouteTally{})
      continue;
    Rows.push_back({Place, Route.New.Answers, Route.New.Errors, Route.New.Slow,
                    Route.Old.Answers, Route.Old.Errors, Route.Old.Slow});
  }
  return {{"service", Counts.Service.Text},
          {"version", Counts.To.Text},
          {"node", Counts.Counts.Node.Text},
          {"incarnation", Counts.Counts.Incarnation},
          {"rows", std::move(Rows)}};
}

Expected<SharedCounts> decodeCounts(const Json &Content) {
  const auto Malformed = [](const char *Reason) {
    return fail(Code::PlatformMalformed, Reason);
  };
  if (!Content.is_object())
    return Malformed("move counts are not a JSON object");
  const auto Service = text(Content, "service");
  const auto Version = text(Content, "version");
  const auto Node = text(Content, "node");
  const auto Incarnation = Content.find("incarnation");
  const auto Rows = Content.find("rows");
  if (!Service || !Version || !Node || Incarnation == Content.end() ||
      !Incarnation->is_number_unsigned() || Rows == Content.end() ||
      !Rows->is_array())
    return Malformed("move counts: a field is missing or has the wrong type");
  SharedCounts Result;
  Result.Service.Text = *Service;
  Result.To.Text = *Version;
  Result.Counts.Node.Text = *Node;
  Result.Counts.Incarnation = Incarnation->get<std::uint64_t>();
  for (const Json &Row : *Rows) {
    if (!isRow(Row))
      return Malformed("move counts: a row is malformed");
    RouteTally &Route = Result.Counts.Tally[Row[0].get<std::size_t>()];
    const auto Count = [&Row](std::size_t Index) {
      return Row[Index].get<std::uint64_t>();
    };
    Route.New = {Count(1), Count(2), Count(3)};
    Route.Old = {Count(4), Count(5), Count(6)};
  }
  return Result;
}

} // namespace balsamyard
