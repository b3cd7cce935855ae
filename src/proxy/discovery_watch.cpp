#include "proxy/discovery_watch.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cherryrail::proxy {
namespace {

using protocol::HttpResponse;

// Discovery sends an empty line so often while nothing changes.
constexpr Micros kHeartbeatInterval = 2'000'000;
// A heartbeat that is late by half its interval does not come any more.
constexpr Micros kSilenceTimeout = 3 * kHeartbeatInterval / 2;
constexpr Micros kConnectTimeout = kHeartbeatInterval / 2;
// So long after the last line of a watch, whatever it misses counts as told to this relay.
constexpr Micros kNewsDeadline = 3 * kHeartbeatInterval;
// Of that time, what a new watch needs to connect and to be answered.
constexpr Micros kRestartTime = kHeartbeatInterval / 2;
// Even when that time is over, discovery is not asked faster than this.
constexpr Micros kShortestRetry = kHeartbeatInterval / 10;
// Some hundred thousand backends; a list that goes on beyond that has no end.
constexpr std::size_t kLongestLine = std::size_t{16} << 20;

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
  if (connection_) return watch_for_silence();
  // What this machine lacks costs discovery nothing, and the news count as told meanwhile.
  const Micros retry_within = attempt.is_local_failure ? kShortestRetry : kNoRetryLimit;
  // Not at once: the owner does not hold this watch yet.
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
  last_received_at_ = event_loop_.now();
  const auto state = response_.feed(bytes, [this](std::string_view part) { take_body(part); });
  if (!connection_) return;
  if (state == HttpResponse::State::malformed) return end("its answer is not HTTP");
  if (state != HttpResponse::State::reading_head && response_.status() != kStatusOk)
    return end("status " + std::to_string(response_.status()));
  if (state == HttpResponse::State::complete) end("it ended the watch");
}

void DiscoveryWatch::on_end_of_stream() { end("it ended the watch"); }

void DiscoveryWatch::on_connection_lost() { end("no connection"); }

Micros DiscoveryWatch::silence_limit() const {
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

// A watch whose far end has vanished stays open and silent.
void DiscoveryWatch::watch_for_silence() {
  event_loop_.call_at(silent_at(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->connection_) return;
    if (self->event_loop_.now() < self->silent_at()) return self->watch_for_silence();
    self->end_silent();
  });
}

// The silence itself, asking again and being answered have to fit into the time after which the news counts
// as told.
void DiscoveryWatch::end_silent() {
  if (state_ == State::streaming) return end("no heartbeat", kNewsDeadline - kSilenceTimeout - kRestartTime);
  const Micros elapsed = event_loop_.now() - started_at_;
  const Micros retry_within = std::max<Micros>(kNewsDeadline - kRestartTime - elapsed, kShortestRetry);
  // Discovery may have come back while this watch, made before, went on waiting.
  end(state_ == State::connecting ? "connect timeout" : "no first line", retry_within);
}

// A part of the body may hold several lines, or a piece of one.
void DiscoveryWatch::take_body(std::string_view part) {
  while (!part.empty() && connection_ && response_.status() == kStatusOk) {
    const std::size_t end_of_line = part.find('\n');
    partial_line_.append(part.substr(0, end_of_line));
    if (partial_line_.size() > kLongestLine) return end("endpoint list too long");
    if (end_of_line == std::string_view::npos) return;
    part.remove_prefix(end_of_line + 1);
    take_line(std::exchange(partial_line_, {}));
  }
}

void DiscoveryWatch::take_line(const std::string& line) {
  const bool is_first = state_ != State::streaming;
  state_ = State::streaming;
  if (is_first) owner_.on_first_line(*this);
  if (!is_blank(line)) owner_.on_list_line(*this, line);
  last_line_at_ = event_loop_.now();
}

}  // namespace cherryrail::proxy
