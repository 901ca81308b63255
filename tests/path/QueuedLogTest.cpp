#include "balsamyard/src/Core/Log.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace balsamyard;

// Guards against requests that block because the reader of the log has stopped
// reading.
SCENARIO("a stalled log reader does not block logging", "[log]") {
  const std::string Path = "/tmp/balsamyard-log-" + std::to_string(::getpid());
  REQUIRE(::mkfifo(Path.c_str(), 0600) == 0);
  const int Reader = ::open(Path.c_str(), O_RDONLY | O_NONBLOCK);
  REQUIRE(Reader >= 0);
  openLog("node", {"n"}, {"d"}, Path, LogDelivery::Queued);
  const std::uint64_t DroppedBefore = droppedLogLines();

  GIVEN("more lines than the pipe and the queue hold") {
    for (std::size_t Line = 0; Line < 2 * LogQueueLines; ++Line)
      logEvent(LogLevel::Info, "event",
               {{"number", static_cast<std::int64_t>(Line)},
                {"text", std::string(200, 'x')}});
    THEN("logging returns, and the dropped lines are counted") {
      CHECK(droppedLogLines() > DroppedBefore);
    }
  }

  // closeLog() writes the queued lines first, so they have to be read.
  std::thread Drain([&] {
    std::string Buffer(65536, '\0');
    ::fcntl(Reader, F_SETFL, 0);
    while (::read(Reader, Buffer.data(), Buffer.size()) > 0) {
    }
  });
  closeLog();
  Drain.join();
  ::close(Reader);
  std::remove(Path.c_str());
}

// Guards against lines that callers make as long as their requests: thousands
// of them may wait in the queue.
SCENARIO("a long text is logged", "[log]") {
  const std::string Path = "/tmp/balsamyard-text-" + std::to_string(::getpid());
  openLog("node", {"n"}, {"d"}, Path, LogDelivery::Immediate);
  for (const std::string &Text :
       {std::string(60'000, 'x'), std::string(60'000, '\xff')})
    logEvent(LogLevel::Info, "event", {{"request", "id-" + Text}});
  closeLog();
  std::ifstream File(Path);
  int Lines = 0;
  for (std::string Line; std::getline(File, Line); ++Lines) {
    THEN("line " + std::to_string(Lines) + " is valid and short") {
      CHECK(Line.size() < 4 * MaxLoggedTextBytes);
      CHECK(Line.find("\"request\":\"id-") != std::string::npos);
      CHECK(Line.ends_with("\"}"));
    }
  }
  CHECK(Lines == 2);
  std::remove(Path.c_str());
}
