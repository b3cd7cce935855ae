// Interposes system calls to inject faults that their manual pages allow. Linked into the tests, it covers
// the test process; as a shared library loaded by LD_PRELOAD, it covers a relay of the soak test.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>
#include <new>

#include "support/fault_plan.hpp"

namespace cherryrail::testing {
namespace {

constexpr int kPerMille = 1000;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kNanosPerMicro = 1'000;

// The C library's function, which the one of the same name in this file interposes.
template <class Function>
Function* real_function(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// A xorshift generator: the standard library's generators are too large to initialize inside a system call.
unsigned next_random() {
  static std::atomic<unsigned> state{static_cast<unsigned>(getpid()) * 2654435761U + 1};
  unsigned value = state.load();
  value ^= value << 13;
  value ^= value >> 17;
  value ^= value << 5;
  state = value;
  return value;
}

bool happens_with_probability(int per_mille) {
  return per_mille > 0 && static_cast<int>(next_random() % kPerMille) < per_mille;
}

bool consume_one(std::atomic<std::int32_t>& remaining) {
  std::int32_t left = remaining.load();
  while (left > 0) {
    if (remaining.compare_exchange_weak(left, left - 1)) return true;
  }
  return false;
}

// Whether to fail this call; if so, sets errno.
bool should_fail(CallFaults& faults) {
  const int error_number = faults.error_number.load();
  if (error_number == 0) return false;
  if (!consume_one(faults.remaining) && !happens_with_probability(faults.per_mille.load())) return false;
  errno = error_number;
  return true;
}

bool has_domain(int fd, int wanted) {
  int domain = 0;
  socklen_t size = sizeof(domain);
  return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == wanted;
}

bool is_tcp(int fd) { return has_domain(fd, AF_INET); }

bool handover_should_fail(int fd) {
  CallFaults& faults = fault_plan().hand_over;
  return faults.error_number.load() != 0 && has_domain(fd, AF_UNIX) && should_fail(faults);
}

bool send_should_fail(int fd) {
  CallFaults& faults = fault_plan().send;
  return faults.error_number.load() != 0 && is_tcp(fd) && should_fail(faults);
}

bool is_regular_file(int fd) {
  struct stat status {};
  return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

// Returns `size`, or a random smaller size of at least 1 if the plan asks for short transfers.
std::size_t shorten_transfer(int fd, std::size_t size) {
  const int per_mille = fault_plan().short_io_per_mille.load();
  if (size < 2 || !happens_with_probability(per_mille) || !is_tcp(fd)) return size;
  return 1 + next_random() % (size - 1);
}

void delay_wait() {
  const int milliseconds = fault_plan().next_wait_delay_ms.exchange(0);
  if (milliseconds <= 0) return;
  const timespec duration{milliseconds / 1000, (milliseconds % 1000) * 1'000'000L};
  nanosleep(&duration, nullptr);
}

FaultPlan* map_plan_file() {
  const char* const path = std::getenv("FAULT_PLAN");
  if (path == nullptr) return nullptr;
  const int fd = open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return nullptr;
  void* const memory = mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  return memory == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(memory);
}

void clear(CallFaults& faults) {
  faults.error_number = 0;
  faults.remaining = 0;
  faults.per_mille = 0;
}

}  // namespace

FaultPlan& fault_plan() {
  static FaultPlan own;
  static FaultPlan* const mapped = map_plan_file();
  return mapped != nullptr ? *mapped : own;
}

FaultPlanScope::~FaultPlanScope() {
  FaultPlan& plan = fault_plan();
  plan.wall_clock_offset_us = 0;
  for (CallFaults* faults : {&plan.accept, &plan.socket, &plan.connect, &plan.storage, &plan.wait,
                             &plan.receive, &plan.hand_over, &plan.send, &plan.epoll_ctl})
    clear(*faults);
  plan.short_io_per_mille = 0;
  plan.next_wait_delay_ms = 0;
}

}  // namespace cherryrail::testing

using cherryrail::testing::fault_plan;
using cherryrail::testing::real_function;

// Names and signatures are those of the C library.
extern "C" {

int accept(int fd, sockaddr* address, socklen_t* size) {
  static const auto real_call = real_function<int(int, sockaddr*, socklen_t*)>("accept");
  if (cherryrail::testing::should_fail(fault_plan().accept)) return -1;
  return real_call(fd, address, size);
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real_call = real_function<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (cherryrail::testing::should_fail(fault_plan().accept)) return -1;
  return real_call(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real_call = real_function<int(int, int, int)>("socket");
  if (domain == AF_INET && cherryrail::testing::should_fail(fault_plan().socket)) return -1;
  return real_call(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real_call = real_function<int(int, const sockaddr*, socklen_t)>("connect");
  if (address->sa_family == AF_INET && cherryrail::testing::should_fail(fault_plan().connect)) return -1;
  return real_call(fd, address, size);
}

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static const auto real_call = real_function<ssize_t(int, void*, std::size_t, int)>("recv");
  if (cherryrail::testing::should_fail(fault_plan().receive)) return -1;
  return real_call(fd, buffer, cherryrail::testing::shorten_transfer(fd, size), flags);
}

ssize_t send(int fd, const void* buffer, std::size_t size, int flags) {
  static const auto real_call = real_function<ssize_t(int, const void*, std::size_t, int)>("send");
  if (cherryrail::testing::send_should_fail(fd)) return -1;
  return real_call(fd, buffer, cherryrail::testing::shorten_transfer(fd, size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real_call = real_function<ssize_t(int, const msghdr*, int)>("sendmsg");
  if (cherryrail::testing::handover_should_fail(fd) || cherryrail::testing::send_should_fail(fd)) return -1;
  if (message->msg_iovlen == 0) return real_call(fd, message, flags);
  const std::size_t first = message->msg_iov[0].iov_len;
  const std::size_t part = cherryrail::testing::shorten_transfer(fd, first);
  if (part == first) return real_call(fd, message, flags);
  iovec piece{message->msg_iov[0].iov_base, part};
  msghdr shortened = *message;
  shortened.msg_iov = &piece;
  shortened.msg_iovlen = 1;
  return real_call(fd, &shortened, flags);
}

int epoll_wait(int fd, epoll_event* events, int count, int timeout) {
  static const auto real_call = real_function<int(int, epoll_event*, int, int)>("epoll_wait");
  if (cherryrail::testing::should_fail(fault_plan().wait)) return -1;
  return real_call(fd, events, count, timeout);
}

int epoll_ctl(int fd, int operation, int watched_fd, epoll_event* event) noexcept {
  static const auto real_call = real_function<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation != EPOLL_CTL_DEL && cherryrail::testing::should_fail(fault_plan().epoll_ctl)) return -1;
  return real_call(fd, operation, watched_fd, event);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto real_call = real_function<int(pollfd*, nfds_t, int)>("poll");
  cherryrail::testing::delay_wait();
  if (cherryrail::testing::should_fail(fault_plan().wait)) return -1;
  return real_call(descriptors, count, timeout);
}

ssize_t write(int fd, const void* buffer, std::size_t size) {
  static const auto real_call = real_function<ssize_t(int, const void*, std::size_t)>("write");
  auto& faults = fault_plan().storage;
  const bool may_fail = faults.error_number.load() != 0 && cherryrail::testing::is_regular_file(fd);
  if (!may_fail || !cherryrail::testing::should_fail(faults)) return real_call(fd, buffer, size);
  if (size > 1) return real_call(fd, buffer, size / 2);  // a disk that fills up takes only a part
  return -1;
}

int fsync(int fd) {
  static const auto real_call = real_function<int(int)>("fsync");
  if (cherryrail::testing::should_fail(fault_plan().storage)) return -1;
  return real_call(fd);
}

int rename(const char* from, const char* to) noexcept {
  static const auto real_call = real_function<int(const char*, const char*)>("rename");
  if (cherryrail::testing::should_fail(fault_plan().storage)) return -1;
  return real_call(from, to);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto real_call = real_function<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real_call(clock, time);
  const std::int64_t offset = fault_plan().wall_clock_offset_us.load();
  if (result != 0 || clock != CLOCK_REALTIME || offset == 0) return result;
  using cherryrail::testing::kMicrosPerSecond;
  using cherryrail::testing::kNanosPerMicro;
  const std::int64_t micros = time->tv_sec * kMicrosPerSecond + time->tv_nsec / kNanosPerMicro + offset;
  time->tv_sec = micros / kMicrosPerSecond;
  time->tv_nsec = micros % kMicrosPerSecond * kNanosPerMicro;
  return result;
}

int gettimeofday(timeval* time, void* zone) noexcept {
  static const auto real_call = real_function<int(timeval*, void*)>("gettimeofday");
  const int result = real_call(time, zone);
  using cherryrail::testing::kMicrosPerSecond;
  const std::int64_t micros =
      time->tv_sec * kMicrosPerSecond + time->tv_usec + fault_plan().wall_clock_offset_us.load();
  time->tv_sec = micros / kMicrosPerSecond;
  time->tv_usec = micros % kMicrosPerSecond;
  return result;
}

}  // extern "C"
