#include "balsamyard/src/Process/Codec.h"
#include "balsamyard/Core"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace balsamyard;
using nlohmann::json;

namespace {

LeafBatch sampleBatch() {
  return {QueryId(7),
          {"0190-a"},
          {"portal"},
          {"search"},
          {"v1"},
          SnapshotId(3),
          std::chrono::milliseconds(120),
          Fingerprint(~0ULL),
          R"({"text":"größe"})",
          {{0, 1, 1, {4, 5}}, {31, 2, 2, {}}}};
}

std::string cbor(const json &Value) {
  std::string Bytes;
  json::to_cbor(Value, Bytes);
  return Bytes;
}

json parsed(const std::string &Bytes) { return json::from_cbor(Bytes); }

template <typename Message> Code resultOf(std::string_view Bytes) {
  Expected<Message> Result = decode<Message>(Bytes);
  return Result ? Code::Ok : Result.error().Value;
}

/// Encodes, decodes and encodes again. Equal bytes show that no field is lost.
template <typename Message> bool roundTrips(const Message &Value) {
  std::string Bytes = encode(Value);
  Expected<Message> Back = decode<Message>(Bytes);
  return Back && encode(*Back) == Bytes;
}

} // namespace

// Guards against a field that is lost, swapped with another one, or accepted
// with a value that the rest of the code cannot handle.
TEST_CASE("a message crosses from one process to another", "[codec]") {
  SECTION("a batch of leaf requests arrives with every field") {
    Expected<LeafBatch> Back = decode<LeafBatch>(encode(sampleBatch()));
    REQUIRE(Back);
    CHECK(Back->Query == QueryId(7));
    CHECK(Back->Request.Text == "0190-a");
    CHECK(Back->Service.Text == "portal");
    CHECK(Back->Route.Text == "search");
    CHECK(Back->Version.Text == "v1");
    CHECK(Back->Snapshot == SnapshotId(3));
    CHECK(Back->TimeLeft == std::chrono::milliseconds(120));
    CHECK(Back->Print == Fingerprint(~0ULL));
    CHECK(Back->Body == R"({"text":"größe"})");
    REQUIRE(Back->Items.size() == 2);
    CHECK(Back->Items[0].Shards == std::vector<ShardId>{4, 5});
    CHECK(Back->Items[1].Leaf == 31);
    CHECK(Back->Items[1].Slot == 2);
    CHECK(Back->Items[1].Attempt == 2);
  }

  SECTION("every other message type survives a round trip") {
    CHECK(roundTrips(LeafReply{QueryId(1),
                               2,
                               3,
                               4,
                               Code::TargetShed,
                               SnapshotId(5),
                               {"v2"},
                               std::chrono::microseconds(1500),
                               {{6, 70, R"([{"id":1}])"}}}));
    CHECK(
        roundTrips(WriteCommand{{"id"},
                                {"permits"},
                                {"file"},
                                {"v1"},
                                8,
                                1,
                                true,
                                std::chrono::seconds(2),
                                WallTime(std::chrono::milliseconds(1900000000)),
                                Fingerprint(9),
                                "{}"}));
    CHECK(roundTrips(
        WriteReply{{"id"}, Code::Replayed, Outcome::Ran, {"v1"}, "{}"}));
    CHECK(roundTrips(ConfigFetch{ConfigVersion(12), {"rules"}}));
    CHECK(
        roundTrips(ConfigDelta{ConfigVersion(13),
                               {{"rules",
                                 ConfigVersion(12),
                                 ConfigVersion(13),
                                 "digest",
                                 {{0, 1, {"first", "second"}}, {9, 2, {}}}}}}));
    CHECK(roundTrips(
        Evidence{{"east-1"}, 1, {"portal"}, {"search"}, {"v2"}, 100, 3, 2}));
  }

  SECTION("a notice keeps its alternative") {
    SlotKey Key{{"portal"}, 3, 1};
    CHECK(roundTrips(Notice{{"east-1"}, SlotCold{Key}}));
    CHECK(roundTrips(Notice{{"east-1"}, SlotLeaving{Key}}));
    CHECK(roundTrips(
        Notice{{"east-1"},
               RequestQuarantined{Fingerprint(4), std::chrono::minutes(10)}}));
    Notice RolledBack{
        {"east-1"},
        VersionRolledBack{
            {"portal"}, {"search"}, {"v2"}, ConfigVersion(5), ""}};
    CHECK(roundTrips(RolledBack));
    Expected<Notice> Back = decode<Notice>(encode(RolledBack));
    REQUIRE(Back);
    CHECK(std::holds_alternative<VersionRolledBack>(Back->Body));
  }

  SECTION("a deadline that has passed arrives as no time left") {
    LeafBatch Expired = sampleBatch();
    Expired.TimeLeft = std::chrono::milliseconds(-5);
    Expected<LeafBatch> Back = decode<LeafBatch>(encode(Expired));
    REQUIRE(Back);
    CHECK(Back->TimeLeft == Duration::zero());
  }

  SECTION("a corrupted message is rejected as a whole") {
    std::string Bytes = encode(sampleBatch());
    json Fields = parsed(Bytes);

    SECTION("cut off at any byte") {
      for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
        CHECK(resultOf<LeafBatch>(std::string_view(Bytes).substr(0, Size)) ==
              Code::MalformedMessage);
    }

    SECTION("followed by another byte") {
      CHECK(resultOf<LeafBatch>(Bytes + '\0') == Code::MalformedMessage);
    }

    SECTION("with a field too few or too many, at any depth") {
      json Short = Fields;
      Short.erase(Short.size() - 1);
      CHECK(resultOf<LeafBatch>(cbor(Short)) == Code::MalformedMessage);
      json Long = Fields;
      Long.push_back(0);
      CHECK(resultOf<LeafBatch>(cbor(Long)) == Code::MalformedMessage);
      json Inner = Fields;
      Inner[9][0].push_back(0);
      CHECK(resultOf<LeafBatch>(cbor(Inner)) == Code::MalformedMessage);
      Inner = Fields;
      Inner[9][1].erase(3);
      CHECK(resultOf<LeafBatch>(cbor(Inner)) == Code::MalformedMessage);
    }

    SECTION("with a field of another type") {
      const std::vector<json> Wrong = {nullptr,
                                       true,
                                       1.5,
                                       -1,
                                       "text",
                                       json::array(),
                                       json::object(),
                                       json::binary({1})};
      for (std::size_t Index = 0; Index < Fields.size(); ++Index)
        for (const json &Value : Wrong) {
          bool SameType = Fields[Index].type() == Value.type();
          if (SameType)
            continue;
          json Changed = Fields;
          Changed[Index] = Value;
          CHECK(resultOf<LeafBatch>(cbor(Changed)) == Code::MalformedMessage);
        }
    }

    SECTION("with a number outside its range") {
      json Changed = Fields;
      Changed[9][0][1] = 65536; // SlotIndex has 16 bits.
      CHECK(resultOf<LeafBatch>(cbor(Changed)) == Code::MalformedMessage);
      Changed = Fields;
      Changed[9][0][0] = 4294967296U; // LeafIndex has 32 bits.
      CHECK(resultOf<LeafBatch>(cbor(Changed)) == Code::MalformedMessage);
      Changed = Fields;
      Changed[6] = 25LL * 3600 * 1000000; // A time above 24 h.
      CHECK(resultOf<LeafBatch>(cbor(Changed)) == Code::MalformedMessage);
    }

    SECTION("with an unknown code, outcome or kind") {
      json Reply = parsed(
          encode(WriteReply{{"id"}, Code::Ok, Outcome::Ran, {"v1"}, "{}"}));
      json Changed = Reply;
      Changed[1] = 1234;
      CHECK(resultOf<WriteReply>(cbor(Changed)) == Code::MalformedMessage);
      Changed = Reply;
      Changed[2] = 3;
      CHECK(resultOf<WriteReply>(cbor(Changed)) == Code::MalformedMessage);
      json Encoded = parsed(encode(Notice{{"n"}, SlotCold{{{"s"}, 0, 0}}}));
      Encoded[1][0] = 4;
      CHECK(resultOf<Notice>(cbor(Encoded)) == Code::MalformedMessage);
    }

    SECTION("with text that is not UTF-8") {
      for (std::string_view Text : {"\xff", "abcdefgh\xc3", "\xc0\x80",
                                    "\xed\xa0\x80", "\xf5\x80\x80\x80"}) {
        WriteReply Reply{
            {"id"}, Code::Ok, Outcome::Ran, {"v1"}, std::string(Text)};
        CHECK(resultOf<WriteReply>(encode(Reply)) == Code::MalformedMessage);
      }
    }
  }

  SECTION("input crafted to exhaust the decoder is rejected") {
    SECTION("lists nested a million deep") {
      CHECK(resultOf<ConfigDelta>(std::string(1 << 20, '\x81')) ==
            Code::MalformedMessage);
    }
    SECTION("a list that claims 2^60 elements") {
      CHECK(resultOf<ConfigDelta>(std::string("\x82\x01\x9b\x10\0\0\0\0\0\0\0",
                                              11)) == Code::MalformedMessage);
    }
    SECTION("a text that claims 2^60 bytes") {
      CHECK(resultOf<Evidence>(std::string("\x88\x7b\x10\0\0\0\0\0\0\0", 10)) ==
            Code::MalformedMessage);
    }
    SECTION("lists of indefinite length") {
      CHECK(resultOf<ConfigFetch>(std::string("\x9f\x01\xff", 3)) ==
            Code::MalformedMessage);
    }
    SECTION("more bytes than a message may have") {
      WriteReply Reply{{"id"},
                       Code::Ok,
                       Outcome::Ran,
                       {"v1"},
                       std::string(MaxMessageBytes, 'x')};
      CHECK(resultOf<WriteReply>(encode(Reply)) == Code::MalformedMessage);
    }
  }
}
