#include "balsamyard/src/Process/Codec.h"
#include "balsamyard/Core"
#include "fuzz/Mutate.h"

using namespace balsamyard;

namespace {

/// Checks that a decoded message is the same after it was encoded and decoded
/// again.
template <typename Message> int checkRoundTrip(const std::string &Bytes) {
  Expected<Message> First = decode<Message>(Bytes);
  if (!First)
    return First.error().Value == Code::MalformedMessage ? 0 : -1;
  std::string Encoded = encode(*First);
  Expected<Message> Second = decode<Message>(Encoded);
  return Second && encode(*Second) == Encoded ? 1 : -1;
}

template <typename Message>
bool fuzzMessage(const char *Decoder, const std::vector<Message> &Samples) {
  std::vector<std::string> Valid;
  for (const Message &Sample : Samples)
    Valid.push_back(encode(Sample));
  return fuzz::run(Decoder, std::move(Valid), checkRoundTrip<Message>);
}

} // namespace

int main() {
  using std::chrono::milliseconds;
  SlotKey Slot{{"portal"}, 7, 2};
  bool Passed = true;
  Passed &= fuzzMessage<LeafBatch>("LeafBatch",
                                   {{QueryId(1),
                                     {"0190-a"},
                                     {"portal"},
                                     {"search"},
                                     {"v1"},
                                     SnapshotId(3),
                                     milliseconds(120),
                                     Fingerprint(~0ULL),
                                     R"({"text":"größe"})",
                                     {{0, 1, 1, {4, 5}}, {31, 2, 2, {}}}},
                                    {}});
  Passed &=
      fuzzMessage<LeafReply>("LeafReply", {{QueryId(1),
                                            2,
                                            3,
                                            4,
                                            Code::Ok,
                                            SnapshotId(5),
                                            {"v2"},
                                            milliseconds(3),
                                            {{6, 70, R"([{"id":1}])"}, {}}},
                                           {}});
  Passed &= fuzzMessage<WriteCommand>("WriteCommand",
                                      {{{"id"},
                                        {"permits"},
                                        {"file"},
                                        {"v1"},
                                        8,
                                        1,
                                        true,
                                        milliseconds(2000),
                                        WallTime(milliseconds(1 << 30)),
                                        Fingerprint(9),
                                        "{}"},
                                       {}});
  Passed &= fuzzMessage<WriteReply>(
      "WriteReply", {{{"id"}, Code::Replayed, Outcome::Ran, {"v1"}, "{}"}, {}});
  Passed &=
      fuzzMessage<ConfigFetch>("ConfigFetch", {{ConfigVersion(1 << 20)}, {}});
  Passed &= fuzzMessage<ConfigDelta>(
      "ConfigDelta", {{ConfigVersion(13),
                       {{"rules",
                         ConfigVersion(12),
                         ConfigVersion(13),
                         "digest",
                         {{0, 1, {"first", "second"}}, {9, 2, {}}}}}},
                      {}});
  Passed &= fuzzMessage<Notice>(
      "Notice",
      {{{"east-1"}, SlotCold{Slot}},
       {{"east-1"}, SlotLeaving{Slot}},
       {{"east-1"}, RequestQuarantined{Fingerprint(4), milliseconds(600000)}},
       {{"east-1"},
        VersionRolledBack{
            {"portal"}, {"search"}, {"v2"}, ConfigVersion(5), "errors"}}});
  Passed &= fuzzMessage<Evidence>(
      "Evidence",
      {{{"east-1"}, 1, {"portal"}, {"search"}, {"v2"}, 100, 3, 2}, {}});
  return Passed ? 0 : 1;
}
