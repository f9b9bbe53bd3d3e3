// Overrides clock_gettime in the daemon that it is linked into: CLOCK_REALTIME
// is shifted by the milliseconds in the file that MIMOSADECK_CLOCK_FILE names.

#include <fcntl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <ctime>

namespace {

constexpr long kNanosPerMilli = 1'000'000;
constexpr long kNanosPerSecond = 1'000'000'000;
constexpr long kMillisPerSecond = 1000;
/** Minimum interval between reads of the file. */
constexpr long kReadIntervalMillis = 50;

long ReadOffset() {
  static std::atomic<long> offset{0};
  static std::atomic<long> read_at{-kReadIntervalMillis};
  timespec now{};
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  const long millis =
      now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli;
  if (millis - read_at < kReadIntervalMillis) {
    return offset;
  }
  read_at = millis;
  const char* path = std::getenv("MIMOSADECK_CLOCK_FILE");
  const int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
  if (file >= 0) {
    std::array<char, 32> text{};
    if (read(file, text.data(), text.size() - 1) > 0) {
      offset = std::strtol(text.data(), nullptr, 10);
    }
    close(file);
  }
  return offset;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): replaces the C function.
extern "C" int clock_gettime(clockid_t clock, timespec* out) noexcept {
  const auto failed = syscall(SYS_clock_gettime, clock, out);
  if (failed == 0 && clock == CLOCK_REALTIME) {
    const long offset = ReadOffset();
    out->tv_sec += offset / kMillisPerSecond;
    out->tv_nsec += offset % kMillisPerSecond * kNanosPerMilli;
    if (out->tv_nsec >= kNanosPerSecond) {
      out->tv_nsec -= kNanosPerSecond;
      ++out->tv_sec;
    } else if (out->tv_nsec < 0) {
      out->tv_nsec += kNanosPerSecond;
      --out->tv_sec;
    }
  }
  return static_cast<int>(failed);
}
