#include "admin/hot_restart.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>
#include <vector>

namespace cherryrail::admin {
namespace {

constexpr std::size_t kLongestMessage = 131072;
constexpr Micros kLongestWaited = 60'000'000;

// The names of sockets are short, those of folders need not be: so the folder is named by its descriptor.
sockaddr_un address_of(const net::FileDescriptor& folder, const std::string& name) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::snprintf(at.sun_path, sizeof(at.sun_path), "/proc/self/fd/%d/%s", folder.get(), name.c_str());
  return at;
}

// 0 if there is none.
unsigned long long inode_of(const net::FileDescriptor& folder, const std::string& name) {
  struct stat file {};
  return fstatat(folder.get(), name.c_str(), &file, 0) == 0 ? file.st_ino : 0;
}

net::FileDescriptor unix_socket() {
  return net::FileDescriptor(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

// Room for what goes beside a message: two descriptors at most.
struct Descriptors {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(2 * sizeof(int))> bytes;
};

msghdr message_of(iovec& part, Descriptors& beside, std::size_t room) {
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = room > 0 ? beside.bytes.data() : nullptr;
  message.msg_controllen = room;
  return message;
}

nlohmann::json written(const StateSnapshot& memory) {
  auto backends = nlohmann::json::array();
  for (const BackendSnapshot& of : memory.backends)
    backends.push_back({of.name, of.started_at, of.reported_started_at, of.capacity_reduced_at,
                        of.failure_log_odds, of.capacity_limit, of.load_at_overload, of.is_ejected,
                        of.is_unresponsive, of.is_capacity_inferred, of.admission_slot, of.admitted_in_slot});
  return {{"born", memory.balancer_started_at},
          {"turns_from", memory.admission_slots_from},
          {"strained_until", memory.general_overload_until},
          {"new_clients", memory.new_sessions},
          {"purse", memory.health_check_tokens},
          {"further", memory.recent_retries},
          {"backends", backends}};
}

StateSnapshot read_memory(const nlohmann::json& json) {
  StateSnapshot memory;
  json.at("born").get_to(memory.balancer_started_at);
  json.at("turns_from").get_to(memory.admission_slots_from);
  json.at("strained_until").get_to(memory.general_overload_until);
  json.at("new_clients").get_to(memory.new_sessions);
  json.at("purse").get_to(memory.health_check_tokens);
  memory.recent_retries = json.value("further", 0.0);  // an earlier version does not tell it
  for (const auto& one : json.at("backends")) {
    BackendSnapshot of;
    auto next = [&one, at = std::size_t{0}](auto& value) mutable { one.at(at++).get_to(value); };
    next(of.name), next(of.started_at), next(of.reported_started_at), next(of.capacity_reduced_at),
        next(of.failure_log_odds), next(of.capacity_limit);
    next(of.load_at_overload), next(of.is_ejected), next(of.is_unresponsive), next(of.is_capacity_inferred),
        next(of.admission_slot), next(of.admitted_in_slot);
    memory.backends.push_back(of);
  }
  return memory;
}

}  // namespace

HotRestart::HotRestart(const std::string& folder, const std::string& name)
    : folder_(folder.empty() ? -1 : open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)), name_(name) {}

// Bound under a name of its own, then renamed over the former one's: at no moment does nobody answer.
bool HotRestart::announce() {
  if (!folder_) return false;
  net::FileDescriptor fresh = unix_socket();
  const std::string own = name_ + "." + std::to_string(getpid());
  const sockaddr_un at = address_of(folder_, own);
  unlinkat(folder_.get(), own.c_str(), 0);
  if (!fresh || bind(fresh.get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fresh.get(), 4) != 0 || renameat(folder_.get(), own.c_str(), folder_.get(), name_.c_str()) != 0)
    return false;
  listening_ = std::move(fresh);
  own_ = inode_of(folder_, name_);
  return true;
}

net::FileDescriptor HotRestart::successor() const {
  if (!folder_ || inode_of(folder_, name_) == own_) return net::FileDescriptor();
  net::FileDescriptor there = unix_socket();
  const sockaddr_un at = address_of(folder_, name_);
  if (!there || connect(there.get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0)
    return net::FileDescriptor();
  return there;
}

std::optional<int> peer_of(const net::FileDescriptor& connection) {
  ucred who{};
  socklen_t size = sizeof(who);
  if (getsockopt(connection.get(), SOL_SOCKET, SO_PEERCRED, &who, &size) != 0 || who.uid != geteuid())
    return {};
  return who.pid != getpid() ? who.pid : 0;
}

std::size_t descriptors_of(int process) {
  std::error_code none;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd", none);
  return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

Gave give(const net::FileDescriptor& to, const proxy::HandoverMessage& handed) {
  const auto binary = [](const std::string& text) {
    return nlohmann::json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
  };
  nlohmann::json json{{"begun", binary(handed.begun)},
                      {"head", binary(handed.head)},
                      {"backend", binary(handed.backend)},
                      {"waited", handed.waited}};
  if (handed.memory) json["memory"] = written(*handed.memory);
  std::vector<std::uint8_t> text = nlohmann::json::to_cbor(json);
  std::array<int, 2> fds{handed.client, handed.server};
  const std::size_t room = (handed.client < 0 ? 0 : handed.server < 0 ? 1 : 2) * sizeof(int);
  Descriptors control{};
  iovec part{text.data(), text.size()};
  msghdr message = message_of(part, control, room > 0 ? CMSG_SPACE(room) : 0);
  if (cmsghdr* header = CMSG_FIRSTHDR(&message)) {
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(room);
    std::memcpy(CMSG_DATA(header), fds.data(), room);
  }
  if (sendmsg(to.get(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0) return Gave::yes;
  // Too many descriptors on their way, too, is a matter of time.
  return errno == EPIPE || errno == ECONNRESET || errno == ENOTCONN ? Gave::never : Gave::later;
}

std::optional<proxy::HandoverMessage> taken(const net::FileDescriptor& from, bool& over) {
  const auto text = std::make_unique_for_overwrite<std::uint8_t[]>(kLongestMessage);
  std::array<int, 2> fds{-1, -1};
  Descriptors control{};
  iovec part{text.get(), kLongestMessage};
  msghdr message = message_of(part, control, control.bytes.size());
  const ssize_t got = recvmsg(from.get(), &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  over = got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
  if (got <= 0) return {};
  for (cmsghdr* one = CMSG_FIRSTHDR(&message); one; one = CMSG_NXTHDR(&message, one)) {
    if (one->cmsg_level == SOL_SOCKET && one->cmsg_type == SCM_RIGHTS)
      std::memcpy(fds.data(), CMSG_DATA(one), std::min(sizeof(fds), one->cmsg_len - CMSG_LEN(0)));
  }
  proxy::HandoverMessage handed;
  handed.client = fds[0];
  handed.server = fds[1];
  try {
    const auto json = nlohmann::json::from_cbor(text.get(), text.get() + got);
    if (const auto memory = json.find("memory"); memory != json.end()) {
      handed.memory = read_memory(*memory);
      return handed;
    }
    const auto words = [&json](const char* key) {
      const auto& bytes = json.at(key).get_binary();
      return std::string(bytes.begin(), bytes.end());
    };
    handed.begun = words("begun");
    handed.head = words("head");
    handed.backend = words("backend");
    handed.waited = std::clamp<Micros>(json.at("waited").get<Micros>(), 0, kLongestWaited);
    if (handed.client >= 0 && handed.head.empty() == (handed.server < 0)) return handed;
  } catch (const nlohmann::json::exception&) {
    // Not understood: as if it had not been sent.
  }
  for (const int fd : fds) {
    if (fd >= 0) close(fd);
  }
  return {};
}

}  // namespace cherryrail::admin
