#include "balsamyard/src/Process/Replay.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace balsamyard;
using namespace std::chrono_literals;

namespace {

std::vector<std::uint32_t> faultLines(const std::string &Trace) {
  std::istringstream Lines(Trace);
  auto Parsed = parseTrace(Lines);
  std::vector<std::uint32_t> Numbers;
  if (!Parsed)
    for (const ReplayFileFault &Fault : Parsed.error())
      Numbers.push_back(Fault.Line);
  return Numbers;
}

using Numbers = std::vector<std::uint32_t>;

const std::string Search =
    R"({"at_ms":5,"kind":"search","service":"portal","route":"find","id":"r-1","deadline_ms":160,"body":{"text":"x"}})"
    "\n";

/// A line like Search with one member replaced.
std::string searchWith(const std::string &Old, const std::string &New) {
  std::string Line = Search;
  std::size_t At = Line.find(Old);
  REQUIRE(At != std::string::npos);
  return Line.replace(At, Old.size(), New);
}

ReplayRequest sampleRequest(bool IsWrite = false) {
  ReplayRequest Request;
  Request.IsWrite = IsWrite;
  Request.Service.Text = "portal";
  Request.Route.Text = "find";
  Request.Id.Text = "r-1";
  Request.Deadline = 100ms;
  return Request;
}

/// A whole answer to sampleRequest() from two shards.
const std::string Whole =
    R"({"code":1000,"name":"ok","request":"r-1","outcome":"ran","snapshot":7,"version":"v1",)"
    R"("coverage":{"share":1.0,"weight":20,"of":20,"shards_answered":2,"shards_asked":2,"missing":[]},)"
    R"("rows":[{"id":"0-0","snapshot":7},{"id":"1-0","snapshot":7}]})";

/// Whole with one part replaced.
std::string wholeWith(const std::string &Old, const std::string &New) {
  std::string Answer = Whole;
  std::size_t At = Answer.find(Old);
  REQUIRE(At != std::string::npos);
  return Answer.replace(At, Old.size(), New);
}

std::string whyWrong(const std::string &Answer) {
  return validateAnswer(sampleRequest(), Answer).Wrong;
}

ReplayResult searchResult(ReplayEnd End, Duration Latency,
                          double Coverage = 1) {
  ReplayResult Result;
  Result.End = End;
  Result.Latency = Latency;
  Result.Coverage = Coverage;
  Result.InTime = End != ReplayEnd::Lost;
  return Result;
}

ReplayResult writeResult(const std::string &Id, ReplayEnd End,
                         const std::string &Outcome) {
  ReplayResult Result = searchResult(End, 1ms);
  Result.IsWrite = true;
  Result.Id.Text = Id;
  Result.Outcome = Outcome;
  return Result;
}

} // namespace

// Guards against a trace that is parsed differently from what it states.
TEST_CASE("a recorded trace is read", "[replay]") {
  SECTION("every kind of event is understood") {
    std::istringstream Lines(
        Search +
        R"({"at_ms":6,"kind":"write","service":"permits","route":"file","id":"w-1","deadline_ms":2000,"body":{"record":"a"},"repeatable":true})"
        "\n\n"
        R"({"at_ms":7,"kind":"fault","url":"http://127.0.0.1:8001/fault","body":{"kind":"crash"}})"
        "\n"
        R"({"at_ms":8,"kind":"rules","body":"drain domain=east  # asked by ops\n"})");
    auto Trace = parseTrace(Lines);
    REQUIRE(Trace);
    REQUIRE(Trace->size() == 4);
    CHECK(Trace->at(0).At == 5ms);
    const auto &Found = std::get<ReplayRequest>(Trace->at(0).Body);
    CHECK_FALSE(Found.IsWrite);
    CHECK(Found.Service.Text == "portal");
    CHECK(Found.Route.Text == "find");
    CHECK(Found.Id.Text == "r-1");
    CHECK(Found.Deadline == 160ms);
    CHECK(Found.Body == R"({"text":"x"})");
    CHECK_FALSE(Found.Repeatable);
    const auto &Written = std::get<ReplayRequest>(Trace->at(1).Body);
    CHECK(Written.IsWrite);
    CHECK(Written.Repeatable == true);
    const auto &Crash = std::get<ReplayFault>(Trace->at(2).Body);
    CHECK(Crash.To == Endpoint{"127.0.0.1", 8001});
    CHECK(Crash.Path == "/fault");
    CHECK(Trace->at(2).Line == 4);
    CHECK(std::get<ReplayRules>(Trace->at(3).Body).Text.starts_with("drain"));
  }

  SECTION("every bad line is reported with its number") {
    CHECK(faultLines("no json\n" + Search + "[]\n") == Numbers{1, 3});
    CHECK(faultLines(searchWith("\"at_ms\":5", "\"at_ms\":-1")) == Numbers{1});
    CHECK(faultLines(searchWith("\"at_ms\":5", "\"at_ms\":0.5")) == Numbers{1});
    CHECK(faultLines(searchWith("\"at_ms\":5,", "")) == Numbers{1});
    CHECK(faultLines(searchWith("search", "browse")) == Numbers{1});
    CHECK(faultLines(searchWith("portal", "por/tal")) == Numbers{1});
    CHECK(faultLines(searchWith("r-1", "r 1")) == Numbers{1});
    CHECK(faultLines(searchWith("r-1", "")) == Numbers{1});
    CHECK(faultLines(searchWith("160", "0")) == Numbers{1});
    CHECK(faultLines(searchWith("{\"text\":\"x\"}", "7")) == Numbers{1});
    CHECK(faultLines(searchWith("\"id\"", "\"ID\"")) == Numbers{1});
    CHECK(faultLines(searchWith("\"body\"", "\"coverage\":2,\"body\"")) ==
          Numbers{1});
    for (const char *Url : {"127.0.0.1:80/x", "http://127.0.0.1/x",
                            "http://127.0.0.1:80", "http://127.0.0.1:99999/x"})
      CHECK(faultLines(R"({"at_ms":7,"kind":"fault","url":")" +
                       std::string(Url) + R"(","body":{}})") == Numbers{1});
  }

  SECTION("events are sorted by time; equal times keep the order of the file") {
    std::istringstream Lines(searchWith("r-1", "second") +
                             searchWith("\"at_ms\":5", "\"at_ms\":4") +
                             searchWith("r-1", "third"));
    auto Trace = parseTrace(Lines);
    REQUIRE(Trace);
    Numbers Order;
    for (const ReplayEvent &Event : *Trace)
      Order.push_back(Event.Line);
    CHECK(Order == Numbers{2, 1, 3});
  }

  SECTION("an empty trace is rejected") { CHECK(faultLines("\n").size() == 1); }
}

// Guards against a run that passes because a bound was misread.
TEST_CASE("the stated outcomes are read", "[replay]") {
  SECTION("as bounds of figures") {
    auto Bounds = parseExpectations(
        R"({"queries":{"min":10},"p99_ms":{"max":160.5},"wrong":{"min":0,"max":0}})");
    REQUIRE(Bounds);
    REQUIRE(Bounds->size() == 3);
    auto Checks =
        compare(*Bounds, {{"queries", 10}, {"p99_ms", 161}, {"wrong", 0}});
    std::map<std::string, bool> Met;
    for (const ReplayCheck &Check : Checks)
      Met[Check.Bound.Figure] = Check.Met;
    CHECK(Met["queries"]);
    CHECK_FALSE(Met["p99_ms"]);
    CHECK(Met["wrong"]);
  }

  SECTION("a figure that the run does not have is not met") {
    CHECK_FALSE(compare({{"queries", 0.0, {}}}, {})[0].Met);
  }

  SECTION("and faults are reported with their lines") {
    auto Lines = [](const char *Json) {
      Numbers Result;
      auto Bounds = parseExpectations(Json);
      if (!Bounds)
        for (const ReplayFileFault &Fault : Bounds.error())
          Result.push_back(Fault.Line);
      return Result;
    };
    CHECK(Lines("{\n\"p99\":\n{\"max\":1}}") == Numbers{2});
    CHECK(Lines("{\n\n\"p99_ms\":{\"most\":1}}") == Numbers{3});
    CHECK(Lines("{\"p99_ms\":{}}") == Numbers{1});
    CHECK(Lines("{\"p99_ms\":5}") == Numbers{1});
    CHECK(Lines("{\"p99_ms\":{\"max\":\"1\"}}") == Numbers{1});
    CHECK(Lines("{\n") == Numbers{2});
    CHECK(Lines("[]") == Numbers{1});
    CHECK(Lines("{\"p99_ms\":{\"max\":1e999}}") == Numbers{0});
  }
}

// Guards against counting an answer as a success although it belongs to another
// request or claims more coverage than its rows show.
TEST_CASE("each answer is judged by its own request", "[replay]") {
  SECTION("a whole answer is accepted") {
    ReplayResult Checked = validateAnswer(sampleRequest(), Whole);
    CHECK(Checked.Wrong.empty());
    CHECK(Checked.End == ReplayEnd::Whole);
    CHECK(Checked.Coverage == 1);
    CHECK(Checked.ResultCode == 1000);
  }

  SECTION("a partial answer is accepted if it says so") {
    std::string Partial =
        R"({"code":1001,"request":"r-1","outcome":"ran","snapshot":7,)"
        R"("coverage":{"share":0.5,"shards_answered":1,"shards_asked":2,"missing":[1]},)"
        R"("rows":[{"id":"0-0","snapshot":7}]})";
    ReplayResult Checked = validateAnswer(sampleRequest(), Partial);
    CHECK(Checked.Wrong.empty());
    CHECK(Checked.End == ReplayEnd::Partial);
    CHECK(Checked.Coverage == 0.5);
    // The same rows from the shard that is reported missing.
    CHECK_FALSE(
        whyWrong(Partial.replace(Partial.find("0-0"), 3, "1-0")).empty());
  }

  SECTION("a refusal keeps its code and outcome") {
    ReplayResult Checked = validateAnswer(
        sampleRequest(),
        R"({"code":3001,"name":"overloaded","request":"r-1","outcome":"not_run"})");
    CHECK(Checked.Wrong.empty());
    CHECK(Checked.End == ReplayEnd::Refused);
    CHECK(Checked.Outcome == "not_run");
  }

  SECTION("wrong answers are found") {
    CHECK_FALSE(whyWrong("").empty());
    CHECK_FALSE(whyWrong("[]").empty());
    CHECK_FALSE(whyWrong(wholeWith("r-1", "r-2")).empty());
    CHECK_FALSE(whyWrong(wholeWith("1000", "1001")).empty());
    CHECK_FALSE(whyWrong(wholeWith("1000", "1234")).empty());
    CHECK_FALSE(whyWrong(wholeWith("\"ran\"", "\"unknown\"")).empty());
    CHECK_FALSE(whyWrong(wholeWith("\"ran\"", "\"done\"")).empty());
    CHECK_FALSE(whyWrong(wholeWith("1.0", "0.9")).empty());
    CHECK_FALSE(whyWrong(wholeWith("\"share\"", "\"part\"")).empty());
    CHECK_FALSE(
        whyWrong(wholeWith("\"missing\":[]", "\"missing\":[3]")).empty());
    CHECK_FALSE(whyWrong(wholeWith("answered\":2", "answered\":1")).empty());
    CHECK_FALSE(whyWrong(wholeWith("\"1-0\"", "\"0-0\"")).empty());
    CHECK_FALSE(
        whyWrong(wholeWith("\"0-0\",\"snapshot\":7", "\"0-0\",\"snapshot\":6"))
            .empty());
    CHECK_FALSE(whyWrong(wholeWith("\"id\":\"0-0\"",
                                   "\"service\":\"permits\",\"id\":\"0-0\""))
                    .empty());
    CHECK_FALSE(whyWrong(wholeWith("\"rows\":[", "\"rows\":[{\"id\":\"2-0\"},"))
                    .empty());
  }

  SECTION("the answer to a write states its number of executions") {
    ReplayResult Checked = validateAnswer(
        sampleRequest(true),
        R"({"code":1000,"request":"r-1","outcome":"ran","result":{"stored":2}})");
    CHECK(Checked.Wrong.empty());
    CHECK(Checked.Executions == 2);
  }
}

// Guards against figures that are better than the run.
TEST_CASE("a run is summed up", "[replay]") {
  SECTION("ends, coverage and percentiles") {
    std::vector<ReplayResult> Results;
    for (int Index = 1; Index <= 998; ++Index)
      Results.push_back(
          searchResult(ReplayEnd::Whole, std::chrono::milliseconds(Index)));
    Results.push_back(searchResult(ReplayEnd::Partial, 999ms, 0.5));
    Results.push_back(searchResult(ReplayEnd::Whole, 1000ms));
    Results.push_back(searchResult(ReplayEnd::Refused, 1ms));
    Results.push_back(searchResult(ReplayEnd::Lost, 5s));
    ReplayFigures Figures = summarize(Results, {});
    CHECK(Figures["queries"] == 1002);
    CHECK(Figures["whole"] == 999);
    CHECK(Figures["partial"] == 1);
    CHECK(Figures["refused"] == 1);
    CHECK(Figures["lost"] == 1);
    CHECK(Figures["p50_ms"] == 500);
    CHECK(Figures["p99_ms"] == 990);
    CHECK(Figures["p999_ms"] == 999);
    CHECK(Figures["coverage_mean"] == Approx(0.9995));
    CHECK(Figures["coverage_min"] == 0.5);
    CHECK(Figures["whole_share"] == Approx(999.0 / 1002));
    CHECK(Figures["within_deadline"] == Approx(1001.0 / 1002));
  }

  SECTION("a wrong answer is neither whole nor fast") {
    std::vector<ReplayResult> Results = {searchResult(ReplayEnd::Whole, 1ms),
                                         searchResult(ReplayEnd::Whole, 9ms)};
    Results[0].Wrong = "the answer is to another request";
    ReplayFigures Figures = summarize(Results, {});
    CHECK(Figures["wrong"] == 1);
    CHECK(Figures["whole"] == 1);
    CHECK(Figures["p50_ms"] == 9);
    CHECK(Figures["whole_share"] == 0.5);
    CHECK(Figures["within_deadline"] == 0.5);
  }

  SECTION("a run without requests has no percentiles") {
    CHECK(summarize({}, {})["p99_ms"] == 0);
  }

  SECTION("a write that ran twice is a duplicate") {
    std::vector<ReplayResult> Results = {
        writeResult("a", ReplayEnd::Whole, "ran"),
        writeResult("b", ReplayEnd::Lost, ""),
    };
    CHECK(summarize(Results, {{"a", 1}, {"b", 1}})["duplicates"] == 0);
    CHECK(summarize(Results, {{"a", 1}, {"b", 3}})["duplicates"] == 2);

    SECTION("unless it may be repeated") {
      Results[1].Repeatable = true;
      CHECK(summarize(Results, {{"a", 1}, {"b", 3}})["duplicates"] == 0);
    }
    SECTION("also if only its answer reports it") {
      Results[0].Executions = 2;
      CHECK(summarize(Results, {})["duplicates"] == 1);
    }
  }

  SECTION("a refusal \"not run\" for a write that ran is false") {
    std::vector<ReplayResult> Results = {
        writeResult("a", ReplayEnd::Refused, "not_run"),
        writeResult("b", ReplayEnd::Refused, "unknown"),
    };
    CHECK(summarize(Results, {{"b", 1}})["false_refusals"] == 0);
    CHECK(summarize(Results, {{"a", 1}})["false_refusals"] == 1);
    Results.push_back(writeResult("a", ReplayEnd::Whole, "ran"));
    CHECK(summarize(Results, {})["false_refusals"] == 1);
  }
}

// Guards against ids that the write gates reject, or that differ between runs
// with the same seed.
TEST_CASE("recorded ids are replaced by fresh ones", "[replay]") {
  WallTime Now(std::chrono::milliseconds(0x0190ABCDEF01));
  RequestId First = freshRequestId({"r-1"}, 7, Now);
  CHECK(First.Text.substr(0, 15) == "0190abcd-ef01-7");
  CHECK(First.Text.size() == 36);
  CHECK(std::string("89ab").find(First.Text[19]) != std::string::npos);
  CHECK(First == freshRequestId({"r-1"}, 7, Now));
  CHECK(First != freshRequestId({"r-2"}, 7, Now));
  CHECK(First != freshRequestId({"r-1"}, 8, Now));
}
