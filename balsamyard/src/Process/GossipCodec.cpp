#include "balsamyard/src/Process/GossipCodec.h"

#include "balsamyard/src/Process/Settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace balsamyard {

namespace {

using nlohmann::json;

// Messages are encoded as arrays without member names, to keep a datagram below
// 1,400 bytes.

/// Longest name or address in a message.
constexpr std::size_t MaxTextBytes = 64;

/// Maximum number of membership updates in a message.
constexpr std::size_t MaxUpdates = 64;

/// Internal exception that decodeGossip() converts to an Error.
struct Malformed {
  const char *Detail;
};

const json &item(const json &Array, std::size_t Index) {
  if (!Array.is_array() || Index >= Array.size())
    throw Malformed{"field missing"};
  return Array[Index];
}

void expectSize(const json &Array, std::size_t Size) {
  if (!Array.is_array() || Array.size() != Size)
    throw Malformed{"wrong number of fields"};
}

std::uint64_t number(const json &Value, std::uint64_t Max) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max)
    throw Malformed{"number of the wrong type or range"};
  return Value.get<std::uint64_t>();
}

bool flag(const json &Value) {
  if (!Value.is_boolean())
    throw Malformed{"expected a boolean"};
  return Value.get<bool>();
}

std::string text(const json &Value) {
  if (!Value.is_string())
    throw Malformed{"expected a text"};
  auto Result = Value.get<std::string>();
  bool Printable = std::all_of(Result.begin(), Result.end(), [](char Char) {
    return Char > ' ' && Char < '\x7f';
  });
  if (Result.empty() || Result.size() > MaxTextBytes || !Printable)
    throw Malformed{"text of invalid length or with non-printable characters"};
  return Result;
}

json pack(const Endpoint &Value) {
  return json::array({Value.Address, Value.Port});
}

Endpoint unpackEndpoint(const json &Value) {
  expectSize(Value, 2);
  Endpoint Result{text(Value[0]),
                  static_cast<std::uint16_t>(number(Value[1], 65535))};
  if (!isIpAddress(Result.Address))
    throw Malformed{"address is not an IP number"};
  return Result;
}

json pack(const ProcessKey &Key) {
  return json::array({Key.Node.Text, static_cast<unsigned>(Key.Role)});
}

ProcessKey unpackKey(const json &Value) {
  expectSize(Value, 2);
  return {{text(Value[0])}, static_cast<ProcessRole>(number(Value[1], 1))};
}

json pack(const MemberUpdate &Update) {
  const MemberInfo &Info = Update.Info;
  // The peer address is omitted if it equals the gossip address, as on every VM
  // with a single address.
  json Peer = Info.Peer.Address == Info.Gossip.Address ? json(Info.Peer.Port)
                                                       : pack(Info.Peer);
  return json::array({Info.Key.Node.Text, static_cast<unsigned>(Info.Key.Role),
                      Info.Domain.Text, Info.Region.Text, pack(Info.Gossip),
                      std::move(Peer), Update.Incarnation,
                      static_cast<unsigned>(Update.State)});
}

MemberUpdate unpackUpdate(const json &Value) {
  expectSize(Value, 8);
  MemberUpdate Result;
  Result.Info.Key = {{text(Value[0])},
                     static_cast<ProcessRole>(number(Value[1], 1))};
  Result.Info.Domain.Text = text(Value[2]);
  Result.Info.Region.Text = text(Value[3]);
  Result.Info.Gossip = unpackEndpoint(Value[4]);
  if (Value[5].is_array())
    Result.Info.Peer = unpackEndpoint(Value[5]);
  else
    Result.Info.Peer = {Result.Info.Gossip.Address,
                        static_cast<std::uint16_t>(number(Value[5], 65535))};
  Result.Incarnation = number(Value[6], MaxIncarnation);
  Result.State = static_cast<MemberState>(number(Value[7], 3));
  return Result;
}

struct PackBody {
  json operator()(const Ping &Body) const {
    json Result = json::array({0, Body.Sequence, Body.Sync});
    if (Body.SyncAfter)
      Result.push_back(pack(*Body.SyncAfter));
    return Result;
  }
  json operator()(const PingRequest &Body) const {
    return json::array({1, Body.Sequence, pack(Body.Target)});
  }
  json operator()(const Ack &Body) const {
    return json::array(
        {2, Body.Sequence, Body.Reached, Body.Sync, Body.SyncLast});
  }
  json operator()(const Announce &) const { return json::array({3}); }
};

GossipBody unpackBody(const json &Value) {
  switch (number(item(Value, 0), 3)) {
  case 0: {
    Ping Body{number(item(Value, 1), MaxIncarnation), flag(item(Value, 2))};
    if (Value.size() == 4)
      Body.SyncAfter = unpackKey(Value[3]);
    else
      expectSize(Value, 3);
    return Body;
  }
  case 1:
    expectSize(Value, 3);
    return PingRequest{number(Value[1], MaxIncarnation), unpackKey(Value[2])};
  case 2:
    expectSize(Value, 5);
    return Ack{number(Value[1], MaxIncarnation), flag(Value[2]), flag(Value[3]),
               flag(Value[4])};
  default:
    expectSize(Value, 1);
    return Announce{};
  }
}

std::string toBytes(const json &Value) {
  std::string Result;
  json::to_cbor(Value, Result);
  return Result;
}

/// CBOR head of an array of \p Count items.
std::string arrayHead(std::size_t Count) {
  if (Count < 24)
    return {static_cast<char>(0x80 + Count)};
  return {static_cast<char>(0x98), static_cast<char>(Count)};
}

} // namespace

std::string encodeGossip(const GossipMessage &Message) {
  // Updates are encoded one by one, because the number that fits depends on
  // their encoded sizes.
  std::string Result = arrayHead(5) + toBytes(pack(Message.From)) +
                       toBytes(static_cast<std::uint64_t>(Message.Config)) +
                       toBytes(Message.MemberCount) +
                       toBytes(std::visit(PackBody{}, Message.Body));
  std::string Updates;
  std::size_t Count = 0;
  for (const MemberUpdate &Update : Message.Updates) {
    std::string Bytes = toBytes(pack(Update));
    if (Count == MaxUpdates ||
        Result.size() + Updates.size() + Bytes.size() + 2 > MaxGossipBytes)
      break;
    Updates += Bytes;
    ++Count;
  }
  return Result + arrayHead(Count) + Updates;
}

Expected<GossipMessage> decodeGossip(std::string_view Bytes) {
  if (Bytes.size() > MaxGossipBytes)
    return fail(Code::MalformedMessage, "datagram too long");
  try {
    json Value = json::from_cbor(Bytes.begin(), Bytes.end());
    expectSize(Value, 5);
    GossipMessage Result;
    Result.From = unpackUpdate(Value[0]);
    Result.Config =
        static_cast<ConfigVersion>(number(Value[1], MaxIncarnation));
    Result.MemberCount =
        static_cast<std::uint32_t>(number(Value[2], UINT32_MAX));
    Result.Body = unpackBody(Value[3]);
    if (!Value[4].is_array() || Value[4].size() > MaxUpdates)
      throw Malformed{"wrong number of updates"};
    for (const json &Update : Value[4])
      Result.Updates.push_back(unpackUpdate(Update));
    return Result;
  } catch (const json::exception &Fault) {
    // from_cbor() reports an excessive array size by an exception even if
    // exceptions are disabled.
    return fail(Code::MalformedMessage, Fault.what());
  } catch (const Malformed &Fault) {
    return fail(Code::MalformedMessage, Fault.Detail);
  }
}

} // namespace balsamyard
