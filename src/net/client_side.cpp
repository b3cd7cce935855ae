#include "net/client_side.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "net/lines.hpp"

namespace cherryrail::net {
namespace {

// A connection that asks for no tunnel may stay so long: sound clients may take two seconds to write their
// line.
constexpr Micros kFirstLine = 2'600'000;
constexpr int kPingsAtOnce = 4;  // in one read; the front waits for each answer

}  // namespace

class ClientSide::Client final : public ConnectionOwner, public ClientEnd {
 public:
  Client(ClientSide& side, std::uint64_t number) : side_(side), number_(number) {}

  void start(SocketPtr socket) {
    began_ = quiet_since_ = wrote_at_ = side_.loop_.now();
    connection_ = Connection::accepted(side_.loop_, std::move(socket), *this);
  }
  void stand(SocketPtr socket, const std::shared_ptr<Exchange>& exchange) {
    exchange_ = exchange;
    exchange_->client = this;
    up_ = true;
    start(std::move(socket));
  }
  void has_waited(Micros time) { quiet_since_ -= time; }
  std::optional<Handed> to_hand() const {
    if (exchange_ && !over_) return exchange_->to_hand();
    Handed handed;
    handed.client = settled();
    if (handed.client < 0) return {};
    handed.begun = lines_.begun();
    handed.waited = side_.loop_.now() - quiet_since_;
    return handed;
  }
  const Exchange* exchange() const { return exchange_.get(); }
  void gone() { exchange_ ? exchange_->gone() : handed(); }
  int settled() const override { return !over_ && connection_->settled() ? connection_->descriptor() : -1; }
  void handed() override {
    connection_->close();
    leave("handed_over");
  }
  bool has_tunnel() const { return exchange_ && !over_; }
  bool quiet() const { return !exchange_ && !over_; }
  Micros quiet_since() const { return quiet_since_; }
  Micros wrote_at() const { return wrote_at_; }  // a part of its first line, or when it came
  void last_call() {
    look();  // its line may lie there unread
    if (over_) return;
    exchange_ ? exchange_->last_call() : turn_out("relay_ends");
  }
  bool has_begun() const { return !lines_.begun().empty(); }
  void look() override { connection_->look(); }

  // Danger: a connection that has not asked for a tunnel yet may be anybody's. What can be no first line is
  // turned away at its first wrong byte; a client that does not wait for its answer is not served.
  void received(std::string_view bytes) override {
    if (exchange_) return up_ ? exchange_->client_passes(bytes) : exchange_->client_spoke_early();
    int pings = 0;
    const std::string_view rest = lines_.feed(bytes, [this, &pings](std::string_view line) {
      if (line == "PING" && ++pings <= kPingsAtOnce) {
        quiet_since_ = side_.loop_.now();
        connection_->send({"PONG\r\n"});
        return connection_->is_open();
      }
      exchange_ = side_.make_(line);
      exchange_->client = this;
      return false;
    });
    if (exchange_) {
      side_.quiet_.erase(number_);
      if (!rest.empty()) return finish("ERR", "spoke_early");
      look();  // its end may lie right behind its line
      return over_ ? void() : side_.take_(exchange_);
    }
    if (!lines_.begun().empty()) wrote_at_ = side_.loop_.now();
    if (lines_.overlong()) return finish("ERR", "overlong_line");
    if (!may_begin(lines_.begun())) finish("ERR", "not_understood");
  }
  void said_nothing() { finish(lines_.begun().empty() ? "" : "ERR", "said_nothing"); }
  void turn_out(const char* reason) {
    connection_->send({"BUSY\r\n"});
    connection_->close_at_once();
    leave(reason);
  }
  void ended() override { client_ended(Ended::orderly); }
  void broken() override { client_ended(Ended::broken); }
  void all_sent() override {
    if (exchange_ && exchange_->server) exchange_->server->read_on(true);
  }

  void pass(std::string_view bytes, std::string_view more) override {
    connection_->send({bytes, more});
    if (connection_->waiting() > kMuchWaiting && exchange_->server) exchange_->server->read_on(false);
    up_ = true;
  }
  void finish(std::string_view last_line, const char* reason) override {
    if (over_) return;
    if (!last_line.empty()) connection_->send({last_line, "\r\n"});
    connection_->close_gently();
    side_.on_their_way_.push_back(connection_);
    leave(reason);
  }
  void drop(const char* reason) override {
    connection_->reset();
    leave(reason);
  }
  void read_on(bool wanted) override { connection_->read_on(wanted); }

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
    if (exchange_) exchange_->client_ended(how);
    if (!over_ && (how == Ended::broken || !exchange_)) finish("", "client_ended");
  }
  void leave(const char* reason) {
    if (std::exchange(over_, true)) return;
    Loop& loop = side_.loop_;
    const std::string_view id = exchange_ ? exchange_->head.id() : std::string_view("-");
    loop.log().line(Topic::connection, "client=%llu id=%.*s end=%s ms=%lld",
                    static_cast<unsigned long long>(number_), static_cast<int>(id.size()), id.data(), reason,
                    static_cast<long long>((loop.now() - began_) / 1000));
    if (exchange_) exchange_->client = nullptr;
    side_.quiet_.erase(number_);
    loop.soon([&side = side_, number = number_] { side.clients_.erase(number); });
  }

  ClientSide& side_;
  std::uint64_t number_;
  std::shared_ptr<Connection> connection_;
  std::shared_ptr<Exchange> exchange_;
  Lines lines_;
  Micros began_ = 0, quiet_since_ = 0, wrote_at_ = 0;
  bool up_ = false, over_ = false;
};

ClientSide::ClientSide(Loop& loop, SocketPtr listening, Make make, Take take, Full full)
    : loop_(loop), make_(std::move(make)), take_(std::move(take)), full_(std::move(full)),
      listener_(loop, std::move(listening), [this](SocketPtr socket) { come(std::move(socket)); }) {}

ClientSide::~ClientSide() = default;

std::size_t ClientSide::tunnels() const {
  return static_cast<std::size_t>(std::count_if(clients_.begin(), clients_.end(),
                                                [](const auto& one) { return one.second->has_tunnel(); }));
}

std::vector<std::shared_ptr<ClientSide::Client>> ClientSide::everybody() const {
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  return all;
}

bool ClientSide::awaits_lines() const {
  return std::any_of(quiet_.begin(), quiet_.end(),
                     [this](std::uint64_t number) { return clients_.at(number)->has_begun(); });
}

// Danger: who has written its line to this machine counts as taken, though nobody may have read it yet or
// even accepted its connection; what the process holds when it ends is cut off with no answer.
void ClientSide::last_call(bool closing) {
  closing ? listener_.close() : listener_.take_in(false);
  for (const auto& client : everybody()) client->last_call();
}

void ClientSide::come(SocketPtr socket) {
  // What has its answer needs its descriptor no longer than it takes to read that.
  while (!on_their_way_.empty()) {
    const auto oldest = on_their_way_.front().lock();
    if (oldest && oldest->is_open()) break;
    on_their_way_.pop_front();
  }
  make_room();
  if (full_()) {  // every one serves somebody: told at once, and nothing kept
    tell_and_close(std::move(socket), "BUSY\r\n");
    return loop_.log().line(Topic::fault, "a client is turned away: descriptors run short");
  }
  come(std::move(socket), "", 0);
}

std::shared_ptr<ClientSide::Client> ClientSide::admit() {
  const auto client = std::make_shared<Client>(*this, ++last_);
  clients_.emplace(last_, client);
  return client;
}

void ClientSide::come(SocketPtr socket, std::string_view begun, Micros waited) {
  const auto client = admit();
  quiet_.insert(last_);
  client->start(std::move(socket));
  client->has_waited(waited);
  look_whether_quiet(client, client->quiet_since() + kFirstLine);
  if (!begun.empty()) client->received(begun);
  client->look();  // most have said by now what they want
}

void ClientSide::stands(SocketPtr socket, const std::shared_ptr<Exchange>& exchange) {
  admit()->stand(std::move(socket), exchange);
}

void ClientSide::hand_over(const Give& give) {
  for (const auto& client : everybody()) {
    auto handed = client->to_hand();
    if (!handed) continue;
    if (!give(std::move(*handed), client->exchange())) return;
    client->gone();
  }
}

// Danger: hundreds that connect and say nothing, or ask for a sign of life and stay, would hold all
// descriptors; then clients with a tunnel to open find none, nor setups, probes and discovery.
void ClientSide::make_room() {
  if (full_())
    std::erase_if(on_their_way_, [this](const auto& one) {
      const auto leaving = one.lock();
      // Danger: one whose last line is not out yet would never read it.
      if (leaving && leaving->is_open() && (leaving->waiting() > 0 || !full_())) return false;
      if (leaving) leaving->close_at_once();
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

void ClientSide::look_whether_quiet(const std::shared_ptr<Client>& client, Micros at) {
  loop_.wake_at(at, [this, weak = std::weak_ptr<Client>(client)] {
    const auto late = weak.lock();
    if (!late || !late->quiet()) return;
    if (loop_.now() < late->quiet_since() + kFirstLine)
      look_whether_quiet(late, late->quiet_since() + kFirstLine);
    else
      late->said_nothing();
  });
}

}  // namespace cherryrail::net
