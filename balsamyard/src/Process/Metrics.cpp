#include "balsamyard/src/Process/Metrics.h"

#include "balsamyard/src/Version/RcuCell.h"

#include <boost/histogram.hpp>
#include <boost/histogram/accumulators/thread_safe.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace balsamyard {

namespace {

/// Limits memory use, as labels may contain names that callers sent.
constexpr std::size_t MaxSeries = 4096;

enum class SeriesKind { Counter, Gauge, Latency };

/// Upper bounds of the buckets in seconds, 100 us to 10 s.
const std::vector<double> &bucketEdges() {
  static const std::vector<double> Edges{
      0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.004, 0.006, 0.01,
      0.016,  0.025,   0.04,   0.06,  0.08,  0.1,   0.13,  0.16,
      0.2,    0.3,     0.5,    1,     2,     5,     10};
  return Edges;
}

auto makeBuckets() {
  using namespace boost::histogram;
  return make_histogram_with(
      dense_storage<accumulators::thread_safe<std::uint64_t>>(),
      axis::variable<double>(bucketEdges()));
}

struct Series : RefCounted<Series> {
  Series(SeriesKind Kind, std::string_view Name, std::string_view Labels)
      : Kind(Kind), Name(Name), Labels(Labels) {
    if (Kind == SeriesKind::Latency)
      this->Buckets.emplace(makeBuckets());
  }

  SeriesKind Kind;
  std::string Name;
  std::string Labels;
  std::atomic<std::uint64_t> Total{0};
  std::atomic<double> Value{0};
  std::atomic<std::uint64_t> SumMicros{0};
  std::optional<decltype(makeBuckets())> Buckets;
};

struct SeriesKey {
  std::string_view Name;
  std::string_view Labels;

  bool operator==(const SeriesKey &) const = default;
};

struct SeriesHash {
  std::size_t operator()(const SeriesKey &Key) const {
    std::hash<std::string_view> Hash;
    return Hash(Key.Name) * 31 + Hash(Key.Labels);
  }
};

/// The keys refer to strings in the series.
struct SeriesTable : RefCounted<SeriesTable> {
  std::unordered_map<SeriesKey, Ref<Series>, SeriesHash> Items;
};

std::string numberText(double Value) {
  std::array<char, 32> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%.9g", Value);
  return Buffer.data();
}

std::string_view kindName(SeriesKind Kind) {
  switch (Kind) {
  case SeriesKind::Counter:
    return "counter";
  case SeriesKind::Gauge:
    return "gauge";
  case SeriesKind::Latency:
    return "histogram";
  }
  return "untyped";
}

std::string sample(std::string_view Name, std::string_view Suffix,
                   std::string_view Labels, std::string_view Value) {
  std::string Line(Name);
  Line += Suffix;
  if (!Labels.empty())
    Line.append("{").append(Labels).append("}");
  return Line.append(" ").append(Value).append("\n");
}

void appendSeries(const Series &Item, std::string &Text) {
  switch (Item.Kind) {
  case SeriesKind::Counter:
    Text +=
        sample(Item.Name, "", Item.Labels, std::to_string(Item.Total.load()));
    return;
  case SeriesKind::Gauge:
    Text += sample(Item.Name, "", Item.Labels, numberText(Item.Value.load()));
    return;
  case SeriesKind::Latency:
    break;
  }
  std::string Prefix = Item.Labels.empty() ? "" : Item.Labels + ",";
  const auto &Edges = bucketEdges();
  std::uint64_t Sum = Item.Buckets->at(-1).load();
  for (std::size_t Index = 0; Index < Edges.size(); ++Index) {
    Text += sample(Item.Name, "_bucket",
                   Prefix + "le=\"" + numberText(Edges[Index]) + "\"",
                   std::to_string(Sum));
    Sum += Item.Buckets->at(static_cast<int>(Index)).load();
  }
  Text +=
      sample(Item.Name, "_bucket", Prefix + "le=\"+Inf\"", std::to_string(Sum));
  Text += sample(Item.Name, "_sum", Item.Labels,
                 numberText(static_cast<double>(Item.SumMicros.load()) / 1e6));
  Text += sample(Item.Name, "_count", Item.Labels, std::to_string(Sum));
}

} // namespace

struct Metrics::Impl {
  RcuCell<SeriesTable> Table{makeRef<const SeriesTable>()};
  std::mutex AddMutex;
  std::atomic<std::uint64_t> Dropped{0};

  /// \returns the series, or null if it exists with another kind or there are
  /// too many series. Locks only to add a series.
  Ref<Series> findOrAdd(SeriesKind Kind, std::string_view Name,
                        std::string_view Labels) {
    SeriesKey Key{Name, Labels};
    Ref<const SeriesTable> Snapshot = this->Table.read();
    auto Found = Snapshot->Items.find(Key);
    if (Found == Snapshot->Items.end()) {
      std::lock_guard<std::mutex> Lock(this->AddMutex);
      Snapshot = this->Table.read();
      Found = Snapshot->Items.find(Key);
      if (Found == Snapshot->Items.end())
        return this->addSeries(*Snapshot, Kind, Name, Labels);
    }
    if (Found->second->Kind == Kind)
      return Found->second;
    ++this->Dropped;
    return nullptr;
  }

  Ref<Series> addSeries(const SeriesTable &Former, SeriesKind Kind,
                        std::string_view Name, std::string_view Labels) {
    if (Former.Items.size() >= MaxSeries) {
      ++this->Dropped;
      return nullptr;
    }
    auto Next = makeRef<SeriesTable>();
    Next->Items = Former.Items;
    auto Added = makeRef<Series>(Kind, Name, Labels);
    Next->Items.emplace(SeriesKey{Added->Name, Added->Labels}, Added);
    this->Table.publish(Next);
    return Added;
  }
};

Metrics::Metrics() : Implementation(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::add(std::string_view Name, std::string_view Labels,
                  std::uint64_t Amount) {
  if (auto Item =
          this->Implementation->findOrAdd(SeriesKind::Counter, Name, Labels))
    Item->Total.fetch_add(Amount, std::memory_order_relaxed);
}

void Metrics::set(std::string_view Name, std::string_view Labels,
                  double Value) {
  if (auto Item =
          this->Implementation->findOrAdd(SeriesKind::Gauge, Name, Labels))
    Item->Value.store(Value, std::memory_order_relaxed);
}

void Metrics::observe(std::string_view Name, std::string_view Labels,
                      Duration Value) {
  auto Item =
      this->Implementation->findOrAdd(SeriesKind::Latency, Name, Labels);
  if (!Item)
    return;
  Duration Counted = std::max(Value, Duration::zero());
  (*Item->Buckets)(static_cast<double>(Counted.count()) / 1e6);
  Item->SumMicros.fetch_add(static_cast<std::uint64_t>(Counted.count()),
                            std::memory_order_relaxed);
}

std::string Metrics::toText() const {
  Ref<const SeriesTable> Snapshot = this->Implementation->Table.read();
  std::map<std::pair<std::string, std::string>, const Series *> Sorted;
  for (const auto &[Key, Item] : Snapshot->Items)
    Sorted[{Item->Name, Item->Labels}] = Item.get();
  std::string Text;
  std::string_view Last;
  for (const auto &[Key, Item] : Sorted) {
    if (Item->Name != Last)
      Text.append("# TYPE ")
          .append(Item->Name)
          .append(" ")
          .append(kindName(Item->Kind))
          .append("\n");
    Last = Item->Name;
    appendSeries(*Item, Text);
  }
  Text += "# TYPE balsamyard_metrics_dropped_total counter\n";
  Text += sample("balsamyard_metrics_dropped_total", "", "",
                 std::to_string(this->Implementation->Dropped.load()));
  return Text;
}

} // namespace balsamyard
