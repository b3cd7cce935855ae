#include "net/server_side.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/lines.hpp"

namespace cherryrail::net {
namespace {

constexpr Micros kLastWords = 2'000'000;  // how long a backend has to end once its client has

const char* reason_of(Result result) {
  switch (result) {
    case Result::opened:
      return "served";
    case Result::error:
      return "error";
    case Result::rejected:
      return "turned_away";
    case Result::timed_out:
      return "timed_out";
    case Result::connect_failed:
      return "connect_failed";
    case Result::reset:
      return "backend_ended";
    case Result::cancelled:
      return "cancelled";
    case Result::moot:
      return "not_sent";
  }
  return "unknown";
}

}  // namespace

class ServerSide::Server final : public ConnectionOwner, public ServerEnd {
 public:
  Server(ServerSide& side, std::uint64_t number, std::shared_ptr<Exchange> exchange, Micros limit)
      : side_(side), number_(number), exchange_(std::move(exchange)), began_(side.loop_.now()),
        until_(began_ + limit) {}

  Exchange& exchange() { return *exchange_; }

  void start(const Address& to, const std::weak_ptr<Server>& weak) {
    exchange_->server = this;
    if (until_ <= began_) return over_soon(weak, Result::timed_out);
    // Danger: a relay out of descriptors would take healthy backends for dead. What was never sent is moot.
    connection_ = Connection::open(side_.loop_, to, *this, &no_descriptor_);
    if (!connection_) return over_soon(weak, no_descriptor_ ? Result::moot : Result::connect_failed);
    side_.loop_.wake_at(std::min(until_, began_ + side_.connect_limit_), [weak] {
      if (const auto self = weak.lock(); self && self->step_ == Step::connecting)
        self->over(Ended::broken, Result::connect_failed);
    });
    side_.loop_.wake_at(until_, [weak] {
      if (const auto self = weak.lock(); self && self->step_ != Step::up && self->step_ != Step::over)
        self->over(Ended::broken, self->unanswered(Result::timed_out));
    });
  }

  void stand(SocketPtr socket) {
    exchange_->server = this;
    step_ = Step::up;
    connection_ = Connection::accepted(side_.loop_, std::move(socket), *this);
  }

  void connected() override {
    if (!exchange_->may_go()) return over(Ended::orderly, Result::moot);
    const Head::Pieces head = exchange_->head.with_wait(until_ - side_.loop_.now());
    step_ = Step::sending;
    connection_->send({head.before, head.wait(), head.after, "\r\n"});
    if (connection_->waiting() == 0) step_ = Step::waiting;
  }
  void all_sent() override {
    if (step_ == Step::sending) step_ = Step::waiting;
    if (exchange_->client) exchange_->client->read_on(true);
  }
  void received(std::string_view bytes) override {
    std::string_view rest = bytes;
    if (step_ != Step::up) {
      rest = lines_.feed(bytes, [this](std::string_view line) {
        answered(line);
        return false;
      });
      if (lines_.overlong() && step_ != Step::over) return over(Ended::broken, Result::error);
    }
    if (step_ != Step::up || rest.empty()) return;
    exchange_->server_passes(rest);
    if (step_ != Step::up) return;
    while (!rest.empty() && !lines_.overlong() && step_ == Step::up) {
      rest = lines_.feed(rest, [this](std::string_view line) {
        const Answer answer = read_answer(line);
        last_ = answer.reply;
        if (answer.reply == Reply::load) {
          if (const auto figure = number_of(answer.rest)) side_.told_(*exchange_, *figure);
        }
        return step_ == Step::up;
      });
    }
  }
  void ended() override {
    over(Ended::orderly, step_ == Step::up ? how_it_ended() : unanswered(Result::reset));
  }
  void broken() override {
    over(Ended::broken, step_ == Step::up ? how_it_ended() : unanswered(Result::reset));
  }

  void pass(std::string_view bytes) override {
    connection_->send({bytes});
    if (connection_->waiting() > kMuchWaiting && exchange_->client) exchange_->client->read_on(false);
  }
  void finish() override {
    connection_->end_sending();
    side_.loop_.wake_at(side_.loop_.now() + kLastWords, [weak = self()] {
      if (const auto self = weak.lock(); self && self->step_ != Step::over)
        self->over(Ended::orderly, Result::cancelled);
    });
  }
  bool has_sent() const override { return step_ == Step::sending || step_ == Step::waiting; }
  void abandon() override {
    if (connection_) connection_->close();
    leave("given_up");
  }
  void drop() override {
    if (connection_) connection_->reset();
    leave("given_up");
  }
  int settled() const override {
    // After its last words it is about to end.
    const bool over = last_ == Reply::bye || last_ == Reply::move;
    return step_ == Step::up && !over && connection_->settled() ? connection_->descriptor() : -1;
  }
  void handed() override {
    connection_->close();
    leave("handed_over");
  }
  void read_on(bool wanted) override {
    if (connection_) connection_->read_on(wanted);
  }

 private:
  enum class Step : std::uint8_t { connecting, sending, waiting, up, over };

  std::weak_ptr<Server> self() const { return side_.servers_.at(number_); }
  // Until the line's last byte is written, the backend cannot have begun.
  Result unanswered(Result once_written) const {
    return step_ == Step::waiting ? once_written : Result::connect_failed;
  }
  Result how_it_ended() const {
    if (last_ == Reply::bye) return Result::opened;
    return last_ == Reply::move || exchange_->client_left() ? Result::cancelled : Result::reset;
  }
  void answered(std::string_view line) {
    const Answer answer = read_answer(line);
    switch (answer.reply) {
      case Reply::up:
        step_ = Step::up;
        exchange_->came_up(line, side_.loop_.now() - began_);
        return;
      case Reply::bye:
        return over(Ended::orderly, Result::opened, answer.rest, line);
      case Reply::busy:
        return over(Ended::orderly, Result::rejected, answer.rest);
      case Reply::move:
        return over(Ended::orderly, Result::cancelled);
      case Reply::error:
        return over(Ended::orderly, Result::error, answer.rest);
      default:
        side_.loop_.log().line(Topic::fault, "a backend answered: %.*s",
                               static_cast<int>(std::min<std::size_t>(80, line.size())), line.data());
        return over(Ended::orderly, Result::error);
    }
  }
  static void over_soon(const std::weak_ptr<Server>& weak, Result result) {
    const auto self = weak.lock();
    self->side_.loop_.soon([weak, result] {
      if (const auto late = weak.lock()) late->over(Ended::broken, result);
    });
  }
  void over(Ended how, Result result, std::string_view report = {}, std::string_view last_line = {}) {
    if (step_ == Step::over) return;
    const LoadReport load = side_.read_report_(report);
    const Ending ending{result, side_.loop_.now() - began_};
    const bool was_up = step_ == Step::up;
    step_ = Step::over;
    leave_line(no_descriptor_ ? "no_descriptors" : reason_of(result));
    exchange_->server_ended(was_up ? how : Ended::orderly, ending, load, last_line);
    if (connection_) connection_->close();
    forget();
  }
  void leave(const char* reason) {
    if (std::exchange(step_, Step::over) == Step::over) return;
    leave_line(reason);
    exchange_->server = nullptr;
    forget();
  }
  void leave_line(const char* reason) {
    const std::string_view id = exchange_->head.id();
    side_.loop_.log().line(Topic::connection, "setup=%llu id=%.*s backend=%llu end=%s ms=%lld",
                           static_cast<unsigned long long>(number_), static_cast<int>(id.size()), id.data(),
                           static_cast<unsigned long long>(exchange_->ep ? exchange_->ep->name : 0), reason,
                           static_cast<long long>((side_.loop_.now() - began_) / 1000));
  }
  void forget() {
    side_.loop_.soon([&side = side_, number = number_] { side.servers_.erase(number); });
  }

  ServerSide& side_;
  std::uint64_t number_;
  std::shared_ptr<Exchange> exchange_;
  Micros began_, until_;
  std::shared_ptr<Connection> connection_;
  Lines lines_;
  Reply last_ = Reply::other;  // of the lines passed on
  Step step_ = Step::connecting;
  bool no_descriptor_ = false;
};

ServerSide::ServerSide(Loop& loop, Micros connect_limit, ReadReport read_report, Told told)
    : loop_(loop), connect_limit_(connect_limit), read_report_(std::move(read_report)),
      told_(std::move(told)) {}

ServerSide::~ServerSide() = default;

std::shared_ptr<ServerSide::Server> ServerSide::admit(const std::shared_ptr<Exchange>& exchange,
                                                      Micros limit) {
  const auto server = std::make_shared<Server>(*this, ++last_, exchange, limit);
  servers_.emplace(last_, server);
  return server;
}

void ServerSide::start(const std::shared_ptr<Exchange>& exchange, const Address& to, Micros limit) {
  const auto server = admit(exchange, limit);
  server->start(to, server);
}

void ServerSide::stands(const std::shared_ptr<Exchange>& exchange, SocketPtr socket) {
  admit(exchange, 0)->stand(std::move(socket));
}

void ServerSide::silent_for(Micros wait, const std::function<void(Exchange&)>& tell) {
  std::vector<std::shared_ptr<Server>> silent;
  for (const auto& [number, server] : servers_) {
    if (server->exchange().unanswered_for(loop_.now()) >= wait) silent.push_back(server);
  }
  for (const auto& server : silent) tell(server->exchange());
}

}  // namespace cherryrail::net
