#include "balsamyard/src/Process/Codec.h"
#include "balsamyard/Core"
#include "fuzz/Mutate.h"

using namespace balsamyard;

namespace {

/// A decoded message encodes to bytes that decode to the same message.
template <typename Message> int check(const std::string &Bytes) {
  Expected<Message> First = decode<Message>(Bytes);
  if (!First)
    return First.error().Value == Code::MalformedMessage ? 0 : -1;
  std::string Again = encode(*First);
  Expected<Message> Second = decode<Message>(Again);
  return Second && encode(*Second) == Again ? 1 : -1;
}

template <typename Message>
bool run(const char *Decoder, const std::vector<Message> &Samples) {
  std::vector<std::string> Valid;
  for (const Message &Each : Samples)
    Valid.push_back(encode(Each));
  return fuzz::run(Decoder, std::move(Valid), check<Message>);
}

} // namespace

int main() {
  using std::chrono::milliseconds;
  SlotKey Slot{{"portal"}, 7, 2};
  bool Good = true;
  Good &= run<LeafBatch>("LeafBatch", {{QueryId(1),
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
  Good &= run<LeafReply>("LeafReply", {{QueryId(1),
                                        2,
                                        3,
                                        4,
                                        Code::Ok,
                                        SnapshotId(5),
                                        {"v2"},
                                        milliseconds(3),
                                        {{6, 70, R"([{"id":1}])"}, {}}},
                                       {}});
  Good &= run<WriteCommand>("WriteCommand", {{{"id"},
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
  Good &= run<WriteReply>(
      "WriteReply", {{{"id"}, Code::Replayed, Outcome::Ran, {"v1"}, "{}"}, {}});
  Good &= run<ConfigFetch>("ConfigFetch", {{ConfigVersion(1 << 20)}, {}});
  Good &= run<ConfigDelta>("ConfigDelta",
                           {{ConfigVersion(13),
                             {{"rules",
                               ConfigVersion(12),
                               ConfigVersion(13),
                               "digest",
                               {{0, 1, {"first", "second"}}, {9, 2, {}}}}}},
                            {}});
  Good &= run<Notice>(
      "Notice",
      {{{"east-1"}, SlotCold{Slot}},
       {{"east-1"}, SlotLeaving{Slot}},
       {{"east-1"}, RequestQuarantined{Fingerprint(4), milliseconds(600000)}},
       {{"east-1"},
        VersionRolledBack{
            {"portal"}, {"search"}, {"v2"}, ConfigVersion(5), "errors"}}});
  Good &= run<Evidence>(
      "Evidence",
      {{{"east-1"}, 1, {"portal"}, {"search"}, {"v2"}, 100, 3, 2}, {}});
  return Good ? 0 : 1;
}
