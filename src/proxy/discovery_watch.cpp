#include "proxy/discovery_watch.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cherryrail::proxy {
namespace {

using protocol::HttpResponse;

// How often discovery sends an empty line while nothing changes.
constexpr Micros kHeartbeatInterval = 2'000'000;
// A heartbeat that is late by a quarter of its interval is considered lost.
constexpr Micros kSilenceTimeout = 5 * kHeartbeatInterval / 4;
constexpr Micros kConnectTimeout = kHeartbeatInterval / 2;
// The retry delay after a shortage on this machine, which puts no load on discovery.
constexpr Micros kLocalFailureRetryDelay = kHeartbeatInterval / 10;
// Enough for some hundred thousand backends; a longer line is taken for one that never ends.
constexpr std::size_t kMaxLineBytes = std::size_t{16} << 20;

constexpr int kStatusOk = 200;

bool is_blank(const std::string& line) { return line.find_first_not_of(" \r") == std::string::npos; }

}  // namespace

DiscoveryWatch::DiscoveryWatch(net::EventLoop& event_loop, DiscoveryWatchOwner& owner, std::string address,
                               std::int64_t version, Micros first_line_timeout)
    : event_loop_(event_loop), owner_(owner), address_(std::move(address)), version_(version),
      first_line_timeout_(first_line_timeout) {}

DiscoveryWatch::~DiscoveryWatch() {
  if (connection_) connection_->close();
}

void DiscoveryWatch::start() {
  started_at_ = event_loop_.now();
  last_received_at_ = started_at_;
  const net::ConnectAttempt attempt =
      net::Connection::connect(event_loop_, net::parse_address(address_), *this);
  connection_ = attempt.connection;
  if (connection_) return schedule_silence_timeout();
  const Micros retry_within = attempt.is_local_failure ? kLocalFailureRetryDelay : kNoRetryLimit;
  // Posted, because the owner does not hold this watch yet.
  event_loop_.post([weak = weak_from_this(), retry_within] {
    if (const auto self = weak.lock()) self->end("cannot connect", retry_within);
  });
}

void DiscoveryWatch::end(const std::string& reason, Micros retry_within) {
  const auto keep_alive = shared_from_this();  // the owner releases this watch
  if (connection_) connection_->close();
  connection_.reset();
  owner_.on_watch_ended(*this, reason, retry_within);
}

void DiscoveryWatch::on_connected() {
  state_ = State::awaiting_first_line;
  connection_->send({"GET /discovery/hosts?watch=1&after=", std::to_string(version_),
                     " HTTP/1.1\r\nHost: ", address_, "\r\nAccept: application/json\r\n\r\n"});
}

void DiscoveryWatch::on_received(std::string_view bytes) {
  const auto keep_alive = shared_from_this();  // the owner may release this watch at any line
  const auto state = response_.feed(bytes, [this](std::string_view part) { read_body(part); });
  if (!connection_) return;
  if (state == HttpResponse::State::malformed) return end("response is not HTTP");
  if (state != HttpResponse::State::reading_head && response_.status() != kStatusOk)
    return end("HTTP status " + std::to_string(response_.status()));
  if (state == HttpResponse::State::complete) end_by_peer("response ended");
}

void DiscoveryWatch::on_end_of_stream() { end_by_peer("connection closed by discovery"); }

void DiscoveryWatch::on_connection_lost() { end_by_peer("connection lost"); }

// A connection whose end arrives has delivered every change before.
void DiscoveryWatch::end_by_peer(const std::string& reason) {
  if (state_ == State::streaming) current_until_ = event_loop_.now();
  end(reason);
}

Micros DiscoveryWatch::silence_timeout() const {
  switch (state_) {
    case State::connecting:
      return kConnectTimeout;
    case State::awaiting_first_line:
      return first_line_timeout_;
    case State::streaming:
      return kSilenceTimeout;
  }
  return kSilenceTimeout;
}

// Without a timeout, a watch whose peer has vanished would stay open and silent.
void DiscoveryWatch::schedule_silence_timeout() {
  silence_timer_ = net::Timer(event_loop_, silence_deadline(), [this] {
    if (!connection_) return;
    if (event_loop_.now() < silence_deadline()) return schedule_silence_timeout();
    on_silence_timeout();
  });
}

void DiscoveryWatch::on_silence_timeout() {
  switch (state_) {
    case State::connecting:
      return end("connect timeout");
    case State::awaiting_first_line:
      return owner_.on_first_line_overdue(*this);
    case State::streaming:
      has_fallen_silent_ = true;
      return end("no heartbeat");
  }
}

// A part of the body may hold several lines or a fragment of a line. Only the body prolongs a wait: a server
// that answers the head at once may never send the list.
void DiscoveryWatch::read_body(std::string_view part) {
  last_received_at_ = event_loop_.now();
  while (!part.empty() && connection_ && response_.status() == kStatusOk) {
    const std::size_t end_of_line = part.find('\n');
    partial_line_.append(part.substr(0, end_of_line));
    if (partial_line_.size() > kMaxLineBytes) return end("endpoint list too long");
    if (end_of_line == std::string_view::npos) return;
    part.remove_prefix(end_of_line + 1);
    handle_line(std::exchange(partial_line_, {}));
  }
}

void DiscoveryWatch::handle_line(const std::string& line) {
  const bool is_first = state_ != State::streaming;
  state_ = State::streaming;
  if (is_first) schedule_silence_timeout();
  if (is_first) owner_.on_first_line(*this);
  if (!is_blank(line)) owner_.on_list_line(*this, line);
  current_until_ = event_loop_.now();
}

}  // namespace cherryrail::proxy
