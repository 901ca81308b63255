#include "balsamyard/src/Core/Log.h"

#include "balsamyard/src/Core/Overload.h"

#include <array>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace balsamyard {

namespace {

using Backend = boost::log::sinks::text_ostream_backend;

std::atomic<std::uint64_t> DroppedLines{0};

/// Overflow strategy that drops and counts a record if the queue is full.
/// Boost.Log requires these member names.
// NOLINTBEGIN(readability-identifier-naming)
class CountingDrop {
public:
  template <typename Lock>
  static bool on_overflow(const boost::log::record_view &, Lock &) {
    DroppedLines.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};
// NOLINTEND(readability-identifier-naming)

using ImmediateSink = boost::log::sinks::synchronous_sink<Backend>;
using QueuedSink = boost::log::sinks::asynchronous_sink<
    Backend,
    boost::log::sinks::bounded_fifo_queue<LogQueueLines, CountingDrop>>;

/// std::monostate if the log is not open.
using Sink = std::variant<std::monostate, boost::shared_ptr<ImmediateSink>,
                          boost::shared_ptr<QueuedSink>>;

/// State set by openLog(). Static because lines may be logged before main()
/// creates its objects and after it has destroyed them.
struct LogState {
  std::mutex Mutex;
  std::string Process; ///< JSON members that follow "event".
  Sink Output;
};

LogState &state() {
  static LogState Instance;
  return Instance;
}

std::string jsonText(std::string_view Text) {
  // Replaces invalid UTF-8, for which dump() would otherwise throw: log lines
  // may contain caller input.
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string_view levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

/// \returns \p Now in RFC 3339 format, in UTC with microseconds.
std::string timeText(std::chrono::system_clock::time_point Now) {
  auto Micros = std::chrono::floor<std::chrono::microseconds>(Now);
  auto Seconds = std::chrono::floor<std::chrono::seconds>(Micros);
  std::time_t Count = Seconds.time_since_epoch().count();
  std::tm Parts{};
  gmtime_r(&Count, &Parts);
  std::array<char, 40> Buffer{};
  std::size_t Length =
      std::strftime(Buffer.data(), Buffer.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Buffer.data() + Length, Buffer.size() - Length, ".%06dZ",
                static_cast<int>((Micros - Seconds).count()));
  return Buffer.data();
}

struct ValueText {
  std::string operator()(const std::string &Value) const {
    return jsonText(std::string_view(Value).substr(0, MaxLoggedTextBytes));
  }
  std::string operator()(std::int64_t Value) const {
    return std::to_string(Value);
  }
  std::string operator()(double Value) const {
    return nlohmann::json(Value).dump();
  }
  std::string operator()(bool Value) const { return Value ? "true" : "false"; }
  std::string operator()(Code Value) const {
    return std::to_string(static_cast<int>(Value));
  }
  std::string operator()(Duration Value) const {
    return std::to_string(Value.count());
  }
};

template <typename Type>
Sink addSink(const boost::shared_ptr<Backend> &Output) {
  auto Result = boost::make_shared<Type>(Output);
  Result->set_formatter(boost::log::expressions::stream
                        << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Result);
  return Result;
}

void removeSink(const Sink &Previous) {
  std::visit(Overload{[](const std::monostate &) {},
                      [](const boost::shared_ptr<ImmediateSink> &Output) {
                        boost::log::core::get()->remove_sink(Output);
                      },
                      [](const boost::shared_ptr<QueuedSink> &Output) {
                        boost::log::core::get()->remove_sink(Output);
                        Output->stop();
                        Output->flush();
                      }},
             Previous);
}

boost::shared_ptr<Backend> openBackend(const std::string &File) {
  auto Result = boost::make_shared<Backend>();
  if (File.empty())
    Result->add_stream(
        boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  else if (File == "-")
    Result->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  else
    Result->add_stream(boost::make_shared<std::ofstream>(File, std::ios::app));
  Result->auto_flush(true);
  return Result;
}

} // namespace

void openLog(std::string_view Process, const NodeName &Node,
             const DomainName &Domain, const std::string &File,
             LogDelivery Delivery) {
  closeLog();
  const auto Output = openBackend(File);
  LogState &State = state();
  std::lock_guard<std::mutex> Lock(State.Mutex);
  State.Process = R"(,"process":)" + jsonText(Process) + R"(,"node":)" +
                  jsonText(Node.Text) + R"(,"domain":)" + jsonText(Domain.Text);
  State.Output = Delivery == LogDelivery::Immediate
                     ? addSink<ImmediateSink>(Output)
                     : addSink<QueuedSink>(Output);
}

void closeLog() {
  LogState &State = state();
  Sink Previous;
  {
    std::lock_guard<std::mutex> Lock(State.Mutex);
    Previous = std::exchange(State.Output, std::monostate{});
  }
  removeSink(Previous);
}

std::uint64_t droppedLogLines() {
  return DroppedLines.load(std::memory_order_relaxed);
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  std::string Line = R"({"time":")" +
                     timeText(std::chrono::system_clock::now()) +
                     R"(","level":")" + std::string(levelName(Level)) +
                     R"(","event":)" + jsonText(Event);
  {
    LogState &State = state();
    std::lock_guard<std::mutex> Lock(State.Mutex);
    if (std::holds_alternative<std::monostate>(State.Output))
      return;
    Line += State.Process;
  }
  for (const LogField &Field : Fields) {
    Line += ",";
    Line += jsonText(Field.Key);
    Line += ":";
    Line += std::visit(ValueText{}, Field.Value);
  }
  Line += "}";
  static boost::log::sources::logger_mt Logger;
  BOOST_LOG(Logger) << Line;
}

} // namespace balsamyard
