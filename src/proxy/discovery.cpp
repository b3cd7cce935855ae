#include "proxy/discovery.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "net/connection.hpp"
#include "protocol/http_response.hpp"

namespace cherryrail::proxy {
namespace {

constexpr Micros kBeat = 2'000'000;        // an empty line comes so often while nothing changes
constexpr Micros kSilent = 3 * kBeat / 2;  // a beat late by half
constexpr Micros kTold = 3 * kBeat;        // after its last word, what a silent watch misses counts as told
constexpr Micros kRecounted = 3 * kBeat / 4;  // a version that stays lower so long has been counted anew
constexpr std::size_t kLongestList = std::size_t{16} << 20;

}  // namespace

// One watch at one address.
class Discovery::DiscoveryWatch final : public net::ConnectionHandler,
                                        public std::enable_shared_from_this<DiscoveryWatch> {
 public:
  DiscoveryWatch(Discovery& discovery, std::int64_t after) : discovery_(discovery), after_(after) {}
  ~DiscoveryWatch() {
    if (connection_) connection_->close();
  }

  void start() {
    heard_at_ = called_at_ = discovery_.event_loop_.now();
    connection_ =
        net::Connection::connect(discovery_.event_loop_, net::parse_address(where_), *this).connection;
    if (connection_) return look_at_clock();
    discovery_.event_loop_.post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->over("cannot connect");
    });
  }
  bool any_line() const { return any_line_; }

  void on_connected() override {
    connected_ = true;
    connection_->send({"GET /discovery/hosts?watch=1&after=", std::to_string(after_),
                       " HTTP/1.1\r\nHost: ", where_, "\r\nAccept: application/json\r\n\r\n"});
  }
  void on_received(std::string_view bytes) override {
    const auto keep = shared_from_this();
    heard_at_ = discovery_.event_loop_.now();
    const auto state = answer_.feed(bytes, [this](std::string_view part) { take_body(part); });
    if (!connection_) return;
    if (state == protocol::HttpResponse::State::malformed) return over("its answer is not HTTP");
    if (state != protocol::HttpResponse::State::reading_head && answer_.status() != 200)
      return over("status " + std::to_string(answer_.status()));
    if (state == protocol::HttpResponse::State::complete) over("it ended the watch");
  }
  void on_end_of_stream() override { over("it ended the watch"); }
  void on_connection_lost() override { over("no connection"); }

  void over(const std::string& why, Micros most = std::numeric_limits<Micros>::max()) {
    const auto keep = shared_from_this();
    if (connection_) connection_->close();
    connection_.reset();
    discovery_.over(*this, why, most);
  }

 private:
  Micros silent_at() const {
    return heard_at_ + (!connected_ ? kBeat / 2 : any_line_ ? kSilent : discovery_.first_within_);
  }
  // Danger: a watch whose far end has vanished stays open and silent, and what it misses counts as told some
  // time after it fell silent. All of it has to fit in: to find out, to ask again, and to be answered.
  void look_at_clock() {
    net::EventLoop& event_loop = discovery_.event_loop_;
    event_loop.call_at(silent_at(), [weak = weak_from_this(), &event_loop] {
      const auto self = weak.lock();
      if (!self || !self->connection_) return;
      if (event_loop.now() < self->silent_at()) return self->look_at_clock();
      if (self->any_line_) return self->over("no heartbeat", kTold - kSilent - kBeat / 2);
      // It may have come back in the moment in which the call that is given up was made.
      const Micros left = kTold - kBeat / 2 - (event_loop.now() - self->called_at_);
      self->over(self->connected_ ? "no first line" : "connect timeout", std::max<Micros>(left, kBeat / 10));
    });
  }

  void take_body(std::string_view part) {
    while (!part.empty() && connection_ && answer_.status() == 200) {
      const std::size_t end = part.find('\n');
      line_.append(part.substr(0, end));
      if (line_.size() > kLongestList) return over("endpoint list too long");
      if (end == std::string_view::npos) return;
      part.remove_prefix(end + 1);
      const std::string line = std::exchange(line_, {});
      if (!std::exchange(any_line_, true)) discovery_.first_line(*this);
      if (line.find_first_not_of(" \r") != std::string::npos) discovery_.list_line(*this, line);
    }
  }

  Discovery& discovery_;
  const std::string where_ = discovery_.where_;
  const std::int64_t after_;
  std::shared_ptr<net::Connection> connection_;
  protocol::HttpResponse answer_;
  std::string line_;
  Micros heard_at_ = 0, called_at_ = 0;
  bool connected_ = false, any_line_ = false;
};

Discovery::Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version,
                     Micros first_within, std::function<void(const protocol::EndpointList&)> heard,
                     Failed failed)
    : event_loop_(event_loop), where_(std::move(address)), version_(version), heard_(std::move(heard)),
      failed_(std::move(failed)), first_within_(first_within) {}

Discovery::~Discovery() = default;

void Discovery::follow() {
  if (feed_) return;  // a watch that stands is not asked for again
  // What follows a version that counts otherwise would tell nothing: then the whole list is asked for.
  feed_ = std::make_shared<DiscoveryWatch>(*this, lower_since_ ? 0 : version_);
  feed_->start();
}

// Danger: the new place may be down, or come up late, and the old one ends; so the old one is followed until
// the new one speaks, and from then on the new one alone. Moved twice in a row, the one that speaks is kept.
void Discovery::move_to(const std::string& address) {
  if (address == where_) return;
  where_ = address;
  lower_since_.reset();
  if (feed_ && feed_->any_line()) former_ = std::move(feed_);
  feed_.reset();
  event_loop_.log().write(net::Topic::discovery, "discovery address is now {}", where_);
  follow();
}

void Discovery::first_line(const DiscoveryWatch& feed) {
  if (&feed != feed_.get()) return;
  former_.reset();
}

void Discovery::list_line(DiscoveryWatch& feed, const std::string& line) {
  protocol::EndpointList list;
  try {
    list = protocol::parse_endpoint_list(line);
  } catch (const protocol::ProtocolError& error) {
    // Danger: a list that cannot be read must not be followed in part: the old one holds.
    return feed.over(error.what());
  }
  if (!holds(list)) return feed.over("endpoint list older than the current one");
  version_ = list.version;
  heard_(list);
}

// Danger: a place that lags tells of backends that have gone and not of those that came since. A lower
// version is taken only once the place that holds has told nothing else for a while: then it counts anew.
bool Discovery::holds(const protocol::EndpointList& list) {
  if (list.version >= version_) {
    lower_since_.reset();
    return true;
  }
  const Micros now = event_loop_.now();
  if (!lower_since_) lower_since_ = now;
  if (now - *lower_since_ < kRecounted) return false;
  lower_since_.reset();
  event_loop_.log().write(net::Topic::discovery, "version counter restarted at {}", list.version);
  return true;
}

void Discovery::over(const DiscoveryWatch& feed, const std::string& why, Micros most) {
  event_loop_.log().write(net::Topic::discovery, "watch ended: {}", why);
  if (&feed == former_.get()) former_.reset();
  if (&feed != feed_.get()) return;
  feed_.reset();
  failed_(most);
}

}  // namespace cherryrail::proxy
