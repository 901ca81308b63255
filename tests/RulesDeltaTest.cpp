#include "balsamyard/Version"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>

using namespace balsamyard;

namespace {

std::size_t addedLines(const DocumentDelta &Delta) {
  std::size_t Count = 0;
  for (const LineEdit &Edit : Delta.Edits)
    Count += Edit.Added.size();
  return Count;
}

/// \returns the delta as it is sent between two nodes.
DocumentDelta deltaBetween(const std::string &From, const std::string &To) {
  DocumentDelta Delta = makeDelta(From, To);
  Delta.From = ConfigVersion{1};
  Delta.To = ConfigVersion{2};
  return Delta;
}

} // namespace

// Guards against a node that applies a text that differs from the accepted one.
TEST_CASE("a changed document is sent as changed lines", "[delta]") {
  const std::string Old = "a\nb\nc\nd\ne\n";

  SECTION("a small change sends only the lines that differ") {
    DocumentDelta Delta = deltaBetween(Old, "a\nB\nc\nd\ne\nf\n");
    CHECK(addedLines(Delta) == 2);
    CHECK(*applyDelta(Old, Delta) == "a\nB\nc\nd\ne\nf\n");
  }
  SECTION("an unchanged document sends no lines") {
    CHECK(deltaBetween(Old, Old).Edits.empty());
    CHECK(*applyDelta(Old, deltaBetween(Old, Old)) == Old);
  }
  SECTION("a node without the document gets the whole text") {
    DocumentDelta Whole = makeDelta("", Old);
    CHECK(*applyDelta("anything else", Whole) == Old);
  }
  SECTION("texts with and without a final line end differ") {
    for (std::string From : {"", "\n", "a", "a\n", "a\n\n"})
      for (std::string To : {"", "\n", "a", "a\n", "a\n\n"})
        CHECK(*applyDelta(From, deltaBetween(From, To)) == To);
  }

  SECTION("a delta that does not fit is refused") {
    DocumentDelta Delta = deltaBetween(Old, "a\nB\nc\nd\ne\n");
    SECTION("the receiver has another text") {
      CHECK(applyDelta("a\nb\nc\nd\nX\n", Delta).error().Value ==
            Code::DigestMismatch);
    }
    SECTION("a line was changed on the way") {
      Delta.Edits[0].Added[0] = "C";
      CHECK(applyDelta(Old, Delta).error().Value == Code::DigestMismatch);
    }
    SECTION("an edit points past the end") {
      Delta.Edits[0].First = 100;
      CHECK(applyDelta(Old, Delta).error().Value == Code::DigestMismatch);
      Delta.Edits[0] = {5, 0xffffffff, {}};
      CHECK(applyDelta(Old, Delta).error().Value == Code::DigestMismatch);
    }
    SECTION("edits overlap") {
      Delta.Edits.push_back(Delta.Edits[0]);
      CHECK(applyDelta(Old, Delta).error().Value == Code::DigestMismatch);
    }
  }

  SECTION("1,000 seeded edits of a file of 300 lines, seed 20261204") {
    boost::random::mt19937 Random(20261204);
    auto Draw = [&](int Least, int Most) {
      return boost::random::uniform_int_distribution<int>(Least, Most)(Random);
    };
    std::vector<std::string> Lines;
    for (int Line = 0; Line < 300; ++Line)
      Lines.push_back("rule " + std::to_string(Draw(0, 40)));
    auto Joined = [&Lines] {
      std::string Text;
      for (const std::string &Line : Lines)
        Text += Line + "\n";
      return Text;
    };
    for (int Round = 0; Round < 1000; ++Round) {
      std::string Before = Joined();
      // One round in ten changes more lines than the search allows.
      int Changes = Round % 10 ? Draw(0, 5) : 400;
      std::size_t Most = 0;
      for (int Change = 0; Change < Changes; ++Change) {
        auto At = Lines.begin() + Draw(0, static_cast<int>(Lines.size()) - 1);
        ++Most;
        if (Draw(0, 2) == 0 && Lines.size() > 100)
          Lines.erase(At);
        else if (Draw(0, 1) == 0)
          *At = "rule " + std::to_string(Draw(0, 40));
        else
          Lines.insert(At, "rule " + std::to_string(Draw(0, 40)));
      }
      std::string After = Joined();
      DocumentDelta Delta = deltaBetween(Before, After);
      REQUIRE(*applyDelta(Before, Delta) == After);
      if (Changes < 400)
        REQUIRE(addedLines(Delta) <= Most);
    }
  }
}
