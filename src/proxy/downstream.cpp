#include "proxy/downstream.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "protocol/line_reader.hpp"

namespace cherryrail::proxy {
namespace {

// A connection that asks for no tunnel may stay so long: sound clients may take two seconds to write their
// line.
constexpr Micros kFirstLine = 2'600'000;
constexpr int kPingsAtOnce = 4;  // in one read; the front waits for each answer

}  // namespace

class DownstreamListener::Client final : public net::ConnectionHandler, public DownstreamConnection {
 public:
  Client(DownstreamListener& side, std::uint64_t number) : side_(side), number_(number) {}

  void start(net::SocketPtr socket) {
    began_ = quiet_since_ = wrote_at_ = side_.event_loop_.now();
    connection_ = net::Connection::adopt(side_.event_loop_, std::move(socket), *this);
  }
  void stand(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session) {
    session_ = session;
    session_->client = this;
    up_ = true;
    start(std::move(socket));
  }
  void has_waited(Micros time) { quiet_since_ -= time; }
  std::optional<OutgoingHandover> to_hand() const {
    if (session_ && !over_) return session_->to_hand();
    const int downstream = flat_settings();
    if (downstream < 0) return {};
    return OutgoingHandover{
        PendingClient{std::string(lines_.partial_line()), side_.event_loop_.now() - quiet_since_},
        downstream};
  }
  const ProxySession* session() const { return session_.get(); }
  void gone() { session_ ? session_->gone() : handed(); }
  int flat_settings() const override {
    return !over_ && connection_->is_transferable() ? connection_->descriptor() : -1;
  }
  void handed() override {
    connection_->close();
    leave("handed_over");
  }
  bool has_tunnel() const { return session_ && !over_; }
  bool quiet() const { return !session_ && !over_; }
  Micros quiet_since() const { return quiet_since_; }
  Micros wrote_at() const { return wrote_at_; }  // a part of its first line, or when it came
  void last_call() {
    look();  // its line may lie there unread
    if (over_) return;
    session_ ? session_->last_call() : turn_out("shutting_down");
  }
  bool has_begun() const { return !lines_.partial_line().empty(); }
  void look() override { connection_->read_now(); }

  // Danger: a connection that has not asked for a tunnel yet may be anybody's. What can be no first line is
  // turned away at its first wrong byte; a client that does not wait for its answer is not served.
  void on_received(std::string_view bytes) override {
    if (session_) return up_ ? session_->client_passes(bytes) : session_->client_spoke_early();
    int pings = 0;
    const std::string_view rest = lines_.feed(bytes, [this, &pings](std::string_view line) {
      if (line == "PING" && ++pings <= kPingsAtOnce) {
        quiet_since_ = side_.event_loop_.now();
        connection_->send({"PONG\r\n"});
        return connection_->is_open();
      }
      session_ = side_.make_(line);
      session_->client = this;
      return false;
    });
    if (session_) {
      side_.quiet_.erase(number_);
      if (!rest.empty()) return finish("ERR", "early_data");
      look();  // its end may lie right behind its line
      return over_ ? void() : side_.take_(session_);
    }
    if (!lines_.partial_line().empty()) wrote_at_ = side_.event_loop_.now();
    if (lines_.is_overlong()) return finish("ERR", "line_too_long");
    if (!may_begin(lines_.partial_line())) finish("ERR", "bad_request");
  }
  void said_nothing() { finish(lines_.partial_line().empty() ? "" : "ERR", "request_timeout"); }
  void turn_out(const char* reason) {
    connection_->send({"BUSY\r\n"});
    connection_->close_discarding_input();
    leave(reason);
  }
  void on_end_of_stream() override { client_ended(Ended::orderly); }
  void on_connection_lost() override { client_ended(Ended::broken); }
  void on_all_sent() override {
    if (session_ && session_->server) session_->server->read_on(true);
  }

  void pass(std::string_view bytes, std::string_view more) override {
    connection_->send({bytes, more});
    if (connection_->unsent_bytes() > kMuchWaiting && session_->server) session_->server->read_on(false);
    up_ = true;
  }
  void finish(std::string_view last_line, const char* reason) override {
    if (over_) return;
    if (!last_line.empty()) connection_->send({last_line, "\r\n"});
    connection_->close_gracefully();
    side_.on_their_way_.push_back(connection_);
    leave(reason);
  }
  void drop(const char* reason) override {
    connection_->reset();
    leave(reason);
  }
  void read_on(bool wanted) override { connection_->set_reading(wanted); }

 private:
  static bool may_begin(std::string_view begun) {
    const auto fits = [begun](std::string_view word) {
      const std::size_t length = std::min(begun.size(), word.size());
      return begun.substr(0, length) == word.substr(0, length);
    };
    return fits("OPEN ") || fits("PING\r");
  }
  void client_ended(Ended how) {
    if (over_) return;
    if (session_) session_->client_ended(how);
    if (!over_ && (how == Ended::broken || !session_)) finish("", "client_closed");
  }
  void leave(const char* reason) {
    if (std::exchange(over_, true)) return;
    net::EventLoop& event_loop = side_.event_loop_;
    const std::string_view id = session_ ? session_->head.id() : std::string_view("-");
    event_loop.log().write(net::Topic::connection, "downstream={} session={} result={} duration_ms={}",
                           number_, id, reason, (event_loop.now() - began_) / 1000);
    if (session_) session_->client = nullptr;
    side_.quiet_.erase(number_);
    event_loop.post([&side = side_, number = number_] { side.clients_.erase(number); });
  }

  DownstreamListener& side_;
  std::uint64_t number_;
  std::shared_ptr<net::Connection> connection_;
  std::shared_ptr<ProxySession> session_;
  protocol::LineReader lines_;
  Micros began_ = 0, quiet_since_ = 0, wrote_at_ = 0;
  bool up_ = false, over_ = false;
};

DownstreamListener::DownstreamListener(net::EventLoop& event_loop, net::SocketPtr listening, Make make,
                                       Take take, Full full)
    : event_loop_(event_loop), make_(std::move(make)), take_(std::move(take)), full_(std::move(full)),
      listener_(event_loop, std::move(listening),
                [this](net::SocketPtr socket) { come(std::move(socket)); }) {}

DownstreamListener::~DownstreamListener() = default;

std::size_t DownstreamListener::tunnels() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(),
                                                [](const auto& one) { return one.second->has_tunnel(); }));
}

std::vector<std::shared_ptr<DownstreamListener::Client>> DownstreamListener::everybody() const {
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  return all;
}

bool DownstreamListener::awaits_lines() const {
  return std::any_of(quiet_.begin(), quiet_.end(),
                     [this](std::uint64_t number) { return clients_.at(number)->has_begun(); });
}

// Danger: who has written its line to this machine counts as taken, though nobody may have read it yet or
// even accepted its connection; what the process holds when it ends is cut off with no answer.
void DownstreamListener::last_call(bool closing) {
  closing ? listener_.close() : listener_.set_accepting(false);
  for (const auto& client : everybody()) client->last_call();
}

void DownstreamListener::come(net::SocketPtr socket) {
  // What has its answer needs its descriptor no longer than it takes to read that.
  while (!on_their_way_.empty()) {
    const auto oldest = on_their_way_.front().lock();
    if (oldest && oldest->is_open()) break;
    on_their_way_.pop_front();
  }
  make_room();
  if (full_()) {  // every one serves somebody: told at once, and nothing kept
    net::send_and_close(std::move(socket), "BUSY\r\n");
    return event_loop_.log().write(net::Topic::error, "client rejected: descriptors run short");
  }
  come(std::move(socket), "", 0);
}

std::shared_ptr<DownstreamListener::Client> DownstreamListener::admit() {
  const auto client = std::make_shared<Client>(*this, ++last_);
  clients_.emplace(last_, client);
  return client;
}

void DownstreamListener::come(net::SocketPtr socket, std::string_view begun, Micros waited) {
  const auto client = admit();
  quiet_.insert(last_);
  client->start(std::move(socket));
  client->has_waited(waited);
  look_whether_quiet(client, client->quiet_since() + kFirstLine);
  if (!begun.empty()) client->on_received(begun);
  client->look();  // most have said by now what they want
}

void DownstreamListener::stands(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session) {
  admit()->stand(std::move(socket), session);
}

void DownstreamListener::hand_over(const Give& give) {
  for (const auto& client : everybody()) {
    auto handed = client->to_hand();
    if (!handed) continue;
    if (!give(std::move(*handed), client->session())) return;
    client->gone();
  }
}

// Danger: hundreds that connect and say nothing, or ask for a sign of life and stay, would hold all
// descriptors; then clients with a tunnel to open find none, nor setups, probes and discovery.
void DownstreamListener::make_room() {
  if (full_())
    std::erase_if(on_their_way_, [this](const auto& one) {
      const auto leaving = one.lock();
      // Danger: one whose last line is not out yet would never read it.
      if (leaving && leaving->is_open() && (leaving->unsent_bytes() > 0 || !full_())) return false;
      if (leaving) leaving->close_discarding_input();
      return true;
    });
  if (std::exchange(making_room_, true)) return;  // a line found on the way asks for room itself
  for (std::size_t looks = quiet_.size(); full_() && !quiet_.empty();) {
    const auto silent = clients_.at(*std::min_element(quiet_.begin(), quiet_.end(), [this](auto a, auto b) {
      return clients_.at(a)->wrote_at() < clients_.at(b)->wrote_at();
    }));
    const Micros wrote_at = silent->wrote_at();
    silent->look();  // its line may lie there unread
    if (!silent->quiet()) continue;
    // Danger: in a crowd that never finishes a line, those that are slow but write on would be the oldest.
    if (silent->wrote_at() > wrote_at && looks-- > 0) continue;
    silent->turn_out("no_descriptors");
  }
  making_room_ = false;
}

void DownstreamListener::look_whether_quiet(const std::shared_ptr<Client>& client, Micros at) {
  event_loop_.call_at(at, [this, weak = std::weak_ptr<Client>(client)] {
    const auto late = weak.lock();
    if (!late || !late->quiet()) return;
    if (event_loop_.now() < late->quiet_since() + kFirstLine)
      look_whether_quiet(late, late->quiet_since() + kFirstLine);
    else
      late->said_nothing();
  });
}

}  // namespace cherryrail::proxy
