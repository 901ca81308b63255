#include "balsamyard/src/Core/Log.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fcntl.h>
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
