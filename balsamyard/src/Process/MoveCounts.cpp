#include "balsamyard/src/Process/MoveCounts.h"

#include <optional>

namespace balsamyard {

namespace {

using Json = nlohmann::json;

/// Place of the route, then answers, errors and slow ones of both sides.
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
  for (const Json &Each : Row)
    if (!Each.is_number_unsigned())
      return false;
  return Row[0].get<std::size_t>() < TallyBuckets;
}

} // namespace

Json encodeCounts(const SharedCounts &Counts) {
  Json Rows = Json::array();
  for (std::size_t Place = 0; Place < TallyBuckets; ++Place) {
    const RouteTally &Each = Counts.Counts.Tally[Place];
    if (Each == RouteTally{})
      continue;
    Rows.push_back({Place, Each.New.Answers, Each.New.Errors, Each.New.Slow,
                    Each.Old.Answers, Each.Old.Errors, Each.Old.Slow});
  }
  return {{"service", Counts.Service.Text},
          {"version", Counts.To.Text},
          {"node", Counts.Counts.Node.Text},
          {"incarnation", Counts.Counts.Incarnation},
          {"rows", std::move(Rows)}};
}

Expected<SharedCounts> decodeCounts(const Json &Content) {
  const auto Bad = [](const char *Why) {
    return fail(Code::PlatformMalformed, Why);
  };
  if (!Content.is_object())
    return Bad("counts are not a table");
  const auto Service = text(Content, "service");
  const auto Version = text(Content, "version");
  const auto Node = text(Content, "node");
  const auto Incarnation = Content.find("incarnation");
  const auto Rows = Content.find("rows");
  if (!Service || !Version || !Node || Incarnation == Content.end() ||
      !Incarnation->is_number_unsigned() || Rows == Content.end() ||
      !Rows->is_array())
    return Bad("counts lack a field or have one of another type");
  SharedCounts Result;
  Result.Service.Text = *Service;
  Result.To.Text = *Version;
  Result.Counts.Node.Text = *Node;
  Result.Counts.Incarnation = Incarnation->get<std::uint64_t>();
  for (const Json &Row : *Rows) {
    if (!isRow(Row))
      return Bad("a row of counts is malformed");
    RouteTally &Place = Result.Counts.Tally[Row[0].get<std::size_t>()];
    const auto At = [&Row](std::size_t Index) {
      return Row[Index].get<std::uint64_t>();
    };
    Place.New = {At(1), At(2), At(3)};
    Place.Old = {At(4), At(5), At(6)};
  }
  return Result;
}

} // namespace balsamyard
