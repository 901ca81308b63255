#include "balsamyard/src/Version/RulesDelta.h"

#include <algorithm>
#include <optional>
#include <span>
#include <utility>
#include <xxhash.h>

namespace balsamyard {

namespace {

using Lines = std::vector<std::string_view>;

/// Longest edit script that is searched for; a longer one is replaced by a
/// single edit. The search takes time and memory proportional to the square of
/// the edits.
constexpr int MaxSearchedEdits = 256;

/// A text with n line ends has n + 1 lines, so joining them restores it
/// exactly.
Lines split(std::string_view Text) {
  Lines Result;
  for (std::size_t Begin = 0;;) {
    std::size_t End = Text.find('\n', Begin);
    if (End == std::string_view::npos) {
      Result.push_back(Text.substr(Begin));
      return Result;
    }
    Result.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
}

/// \brief A removed or added line; From and To are positions in both texts.
struct Step {
  std::size_t From;
  std::size_t To;
  bool Added;
};

/// \returns the shortest edit script (Myers), last step first, or nothing if
/// it is longer than MaxSearchedEdits.
std::optional<std::vector<Step>>
shortestScript(std::span<std::string_view> Old,
               std::span<std::string_view> New) {
  const int OldSize = static_cast<int>(Old.size());
  const int NewSize = static_cast<int>(New.size());
  const int MaxEdits = std::min(OldSize + NewSize, MaxSearchedEdits);
  // Furthest[K + MaxEdits + 1] is the furthest old line on diagonal K.
  std::vector<int> Furthest(2 * MaxEdits + 3, 0);
  std::vector<std::vector<int>> Trace;
  auto FurthestOn = [MaxEdits](std::vector<int> &Row, int Diagonal) -> int & {
    return Row[Diagonal + MaxEdits + 1];
  };
  for (int Edits = 0; Edits <= MaxEdits; ++Edits) {
    Trace.push_back(Furthest);
    for (int K = -Edits; K <= Edits; K += 2) {
      bool Down = K == -Edits ||
                  (K != Edits &&
                   FurthestOn(Furthest, K - 1) < FurthestOn(Furthest, K + 1));
      int X =
          Down ? FurthestOn(Furthest, K + 1) : FurthestOn(Furthest, K - 1) + 1;
      while (X < OldSize && X - K < NewSize && Old[X] == New[X - K])
        ++X;
      FurthestOn(Furthest, K) = X;
      if (X < OldSize || X - K < NewSize)
        continue;
      std::vector<Step> Script;
      int EndX = OldSize;
      int EndY = NewSize;
      for (int Left = Edits; Left > 0; --Left) {
        std::vector<int> &Row = Trace[Left];
        int Diagonal = EndX - EndY;
        bool Added = Diagonal == -Left ||
                     (Diagonal != Left && FurthestOn(Row, Diagonal - 1) <
                                              FurthestOn(Row, Diagonal + 1));
        int Before = Added ? Diagonal + 1 : Diagonal - 1;
        EndX = FurthestOn(Row, Before);
        EndY = EndX - Before;
        Script.push_back({static_cast<std::size_t>(EndX),
                          static_cast<std::size_t>(EndY), Added});
      }
      return Script;
    }
  }
  return std::nullopt;
}

} // namespace

std::string digestOf(std::string_view Text) {
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  std::string Digits;
  for (std::uint64_t Half : {Hash.high64, Hash.low64})
    for (int Shift = 60; Shift >= 0; Shift -= 4)
      Digits += "0123456789abcdef"[(Half >> Shift) & 15];
  return Digits;
}

DocumentDelta makeDelta(std::string_view From, std::string_view To) {
  DocumentDelta Delta;
  Delta.Digest = digestOf(To);
  Lines Old = split(From);
  Lines New = split(To);
  std::size_t Head = 0;
  while (Head < Old.size() && Head < New.size() && Old[Head] == New[Head])
    ++Head;
  std::size_t Tail = 0;
  while (Head + Tail < Old.size() && Head + Tail < New.size() &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  std::span<std::string_view> OldPart(Old.begin() + Head, Old.end() - Tail);
  std::span<std::string_view> NewPart(New.begin() + Head, New.end() - Tail);
  if (OldPart.empty() && NewPart.empty())
    return Delta;

  std::optional<std::vector<Step>> Script = shortestScript(OldPart, NewPart);
  if (!Script) {
    Delta.Edits.push_back({static_cast<std::uint32_t>(Head),
                           static_cast<std::uint32_t>(OldPart.size()),
                           {NewPart.begin(), NewPart.end()}});
    return Delta;
  }
  for (auto At = Script->rbegin(); At != Script->rend(); ++At) {
    auto Line = static_cast<std::uint32_t>(Head + At->From);
    // Steps at the same position of the old text form one edit.
    if (Delta.Edits.empty() ||
        Delta.Edits.back().First + Delta.Edits.back().Removed != Line)
      Delta.Edits.push_back({Line, 0, {}});
    if (At->Added)
      Delta.Edits.back().Added.emplace_back(NewPart[At->To]);
    else
      ++Delta.Edits.back().Removed;
  }
  return Delta;
}

Expected<std::string> applyDelta(std::string_view From,
                                 const DocumentDelta &Delta) {
  if (Delta.From == ConfigVersion{})
    From = {};
  Lines Old = split(From);
  std::string Text;
  bool First = true;
  auto Append = [&](std::string_view Line) {
    if (!std::exchange(First, false))
      Text += '\n';
    Text += Line;
  };
  std::size_t Next = 0;
  for (const LineEdit &Edit : Delta.Edits) {
    if (Edit.First < Next || Edit.First > Old.size() ||
        Edit.Removed > Old.size() - Edit.First)
      return fail(Code::DigestMismatch,
                  "expected edits in ascending order within " +
                      std::to_string(Old.size()) + " lines, found line " +
                      std::to_string(Edit.First));
    for (; Next < Edit.First; ++Next)
      Append(Old[Next]);
    Next += Edit.Removed;
    for (const std::string &Line : Edit.Added)
      Append(Line);
  }
  for (; Next < Old.size(); ++Next)
    Append(Old[Next]);
  std::string Digest = digestOf(Text);
  if (Digest != Delta.Digest)
    return fail(Code::DigestMismatch, "expected digest " + Delta.Digest +
                                          " of document \"" + Delta.Name +
                                          "\", found " + Digest);
  return Text;
}

} // namespace balsamyard
