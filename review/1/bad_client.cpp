// A bad client: sends a request, reads the answer, and sends the same again with a new id as soon as it is turned away.
// Usage: bad_client PORT NUMBER SECONDS. Prints how many requests it sent, how many answers began with BUSY, ERR or UP, and
// how many connections ended without an answer.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

int main(int count, char** arguments) {
  if (count != 4) return 2;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<in_port_t>(std::atoi(arguments[1])));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  const std::string prefix = arguments[2];
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoi(arguments[3]) * 1000);
  constexpr std::size_t kLineBytes = 4000;  // with CRLF; PROTOCOL allows 4 KiB
  unsigned long sent = 0, busy = 0, err = 0, up = 0, nothing = 0;
  while (std::chrono::steady_clock::now() < end) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      usleep(1000);
      continue;
    }
    const std::string tail = " 1 c=sheet-view,d=1\r\n";
    std::string id = prefix + "." + std::to_string(sent) + ".";
    id.append(kLineBytes - 5 - id.size() - tail.size(), 'f');
    const std::string line = "OPEN " + id + tail;
    const timeval limit{3, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ++sent;
    char answer[256];
    const bool is_sent = send(fd, line.data(), line.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(line.size());
    const ssize_t size = is_sent ? recv(fd, answer, sizeof(answer), 0) : 0;
    if (size >= 4 && std::strncmp(answer, "BUSY", 4) == 0) ++busy;
    else if (size >= 3 && std::strncmp(answer, "ERR", 3) == 0) ++err;
    else if (size >= 2 && std::strncmp(answer, "UP", 2) == 0) ++up;
    else ++nothing;
    close(fd);
  }
  std::printf("sent %lu, BUSY %lu, ERR %lu, UP %lu, no answer %lu\n", sent, busy, err, up, nothing);
}
