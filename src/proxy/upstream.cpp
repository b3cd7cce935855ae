#include "proxy/upstream.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/backend_reply.hpp"
#include "protocol/line_reader.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

constexpr Micros kLastWords = 2'000'000;  // how long a backend has to end once its client has

const char* reason_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::succeeded:
      return "served";
    case AttemptResult::error:
      return "error";
    case AttemptResult::rejected:
      return "rejected";
    case AttemptResult::timed_out:
      return "timed_out";
    case AttemptResult::connect_failed:
      return "connect_failed";
    case AttemptResult::reset:
      return "backend_closed";
    case AttemptResult::cancelled:
      return "cancelled";
    case AttemptResult::not_sent:
      return "not_sent";
  }
  return "unknown";
}

}  // namespace

class UpstreamConnector::Server final : public net::ConnectionHandler, public UpstreamConnection {
 public:
  Server(UpstreamConnector& side, std::uint64_t number, std::shared_ptr<ProxySession> session, Micros limit)
      : side_(side), number_(number), session_(std::move(session)), began_(side.event_loop_.now()),
        until_(began_ + limit) {}

  ProxySession& session() { return *session_; }

  void start(const net::Address& to, const std::weak_ptr<Server>& weak) {
    session_->server = this;
    if (until_ <= began_) return over_soon(weak, AttemptResult::timed_out);
    // Danger: a relay out of descriptors would take healthy backends for dead. What was never sent is moot.
    net::ConnectAttempt attempt = net::Connection::connect(side_.event_loop_, to, *this);
    connection_ = std::move(attempt.connection);
    no_descriptor_ = attempt.is_out_of_descriptors;
    if (!connection_)
      return over_soon(weak, no_descriptor_ ? AttemptResult::not_sent : AttemptResult::connect_failed);
    side_.event_loop_.call_at(std::min(until_, began_ + side_.connect_limit_), [weak] {
      if (const auto self = weak.lock(); self && self->step_ == Step::connecting)
        self->over(Ended::broken, AttemptResult::connect_failed);
    });
    side_.event_loop_.call_at(until_, [weak] {
      if (const auto self = weak.lock(); self && self->step_ != Step::up && self->step_ != Step::over)
        self->over(Ended::broken, self->unanswered(AttemptResult::timed_out));
    });
  }

  void stand(net::SocketPtr socket) {
    session_->server = this;
    step_ = Step::up;
    connection_ = net::Connection::adopt(side_.event_loop_, std::move(socket), *this);
  }

  void on_connected() override {
    if (!session_->may_still_send()) return over(Ended::orderly, AttemptResult::not_sent);
    const protocol::OpenRequest::LinePieces head =
        session_->head.with_client_timeout(until_ - side_.event_loop_.now());
    step_ = Step::sending;
    connection_->send({head.before, head.client_timeout(), head.after, "\r\n"});
    if (connection_->unsent_bytes() == 0) step_ = Step::waiting;
  }
  void on_all_sent() override {
    if (step_ == Step::sending) step_ = Step::waiting;
    if (session_->client) session_->client->read_on(true);
  }
  void on_received(std::string_view bytes) override {
    std::string_view rest = bytes;
    if (step_ != Step::up) {
      rest = lines_.feed(bytes, [this](std::string_view line) {
        answered(line);
        return false;
      });
      if (lines_.is_overlong() && step_ != Step::over) return over(Ended::broken, AttemptResult::error);
    }
    if (step_ != Step::up || rest.empty()) return;
    session_->server_passes(rest);
    if (step_ != Step::up) return;
    while (!rest.empty() && !lines_.is_overlong() && step_ == Step::up) {
      rest = lines_.feed(rest, [this](std::string_view line) {
        const protocol::BackendReply answer = protocol::parse_backend_reply(line);
        last_ = answer.kind;
        if (answer.kind == protocol::ReplyKind::load) {
          if (const auto figure = protocol::parse_number(answer.arguments)) side_.told_(*session_, *figure);
        }
        return step_ == Step::up;
      });
    }
  }
  void on_end_of_stream() override {
    over(Ended::orderly, step_ == Step::up ? how_it_ended() : unanswered(AttemptResult::reset));
  }
  void on_connection_lost() override {
    over(Ended::broken, step_ == Step::up ? how_it_ended() : unanswered(AttemptResult::reset));
  }

  void pass(std::string_view bytes) override {
    connection_->send({bytes});
    if (connection_->unsent_bytes() > kMuchWaiting && session_->client) session_->client->read_on(false);
  }
  void finish() override {
    connection_->end_sending();
    side_.event_loop_.call_at(side_.event_loop_.now() + kLastWords, [weak = self()] {
      if (const auto self = weak.lock(); self && self->step_ != Step::over)
        self->over(Ended::orderly, AttemptResult::cancelled);
    });
  }
  bool has_sent() const override { return step_ == Step::sending || step_ == Step::waiting; }
  void abandon() override {
    if (connection_) connection_->close();
    leave("abandoned");
  }
  void drop() override {
    if (connection_) connection_->reset();
    leave("abandoned");
  }
  int flat_settings() const override {
    // After its last words it is about to end.
    const bool over = last_ == protocol::ReplyKind::bye || last_ == protocol::ReplyKind::move;
    return step_ == Step::up && !over && connection_->is_transferable() ? connection_->descriptor() : -1;
  }
  void handed() override {
    connection_->close();
    leave("handed_over");
  }
  void read_on(bool wanted) override {
    if (connection_) connection_->set_reading(wanted);
  }

 private:
  enum class Step : std::uint8_t { connecting, sending, waiting, up, over };

  std::weak_ptr<Server> self() const { return side_.servers_.at(number_); }
  // Until the line's last byte is written, the backend cannot have begun.
  AttemptResult unanswered(AttemptResult once_written) const {
    return step_ == Step::waiting ? once_written : AttemptResult::connect_failed;
  }
  AttemptResult how_it_ended() const {
    if (last_ == protocol::ReplyKind::bye) return AttemptResult::succeeded;
    return last_ == protocol::ReplyKind::move || session_->client_left() ? AttemptResult::cancelled
                                                                         : AttemptResult::reset;
  }
  void answered(std::string_view line) {
    const protocol::BackendReply answer = protocol::parse_backend_reply(line);
    switch (answer.kind) {
      case protocol::ReplyKind::up:
        step_ = Step::up;
        session_->came_up(line, side_.event_loop_.now() - began_);
        return;
      case protocol::ReplyKind::bye:
        return over(Ended::orderly, AttemptResult::succeeded, answer.arguments, line);
      case protocol::ReplyKind::busy:
        return over(Ended::orderly, AttemptResult::rejected, answer.arguments);
      case protocol::ReplyKind::move:
        return over(Ended::orderly, AttemptResult::cancelled);
      case protocol::ReplyKind::error:
        return over(Ended::orderly, AttemptResult::error, answer.arguments);
      default:
        side_.event_loop_.log().write(net::Topic::error, "unexpected reply of a backend: {}",
                                      line.substr(0, 80));
        return over(Ended::orderly, AttemptResult::error);
    }
  }
  static void over_soon(const std::weak_ptr<Server>& weak, AttemptResult result) {
    const auto self = weak.lock();
    self->side_.event_loop_.post([weak, result] {
      if (const auto late = weak.lock()) late->over(Ended::broken, result);
    });
  }
  void over(Ended how, AttemptResult result, std::string_view report = {}, std::string_view last_line = {}) {
    if (step_ == Step::over) return;
    const LoadReport load = side_.read_report_(report);
    const AttemptOutcome outcome{result, side_.event_loop_.now() - began_};
    const bool was_up = step_ == Step::up;
    step_ = Step::over;
    leave_line(no_descriptor_ ? "no_descriptors" : reason_of(result));
    session_->server_ended(was_up ? how : Ended::orderly, outcome, load, last_line);
    if (connection_) connection_->close();
    forget();
  }
  void leave(const char* reason) {
    if (std::exchange(step_, Step::over) == Step::over) return;
    leave_line(reason);
    session_->server = nullptr;
    forget();
  }
  void leave_line(const char* reason) {
    const std::string_view id = session_->head.id();
    side_.event_loop_.log().write(
        net::Topic::connection, "attempt={} session={} backend={} result={} duration_ms={}", number_, id,
        session_->backend ? session_->backend->name : 0, reason, (side_.event_loop_.now() - began_) / 1000);
  }
  void forget() {
    side_.event_loop_.post([&side = side_, number = number_] { side.servers_.erase(number); });
  }

  UpstreamConnector& side_;
  std::uint64_t number_;
  std::shared_ptr<ProxySession> session_;
  Micros began_, until_;
  std::shared_ptr<net::Connection> connection_;
  protocol::LineReader lines_;
  protocol::ReplyKind last_ = protocol::ReplyKind::other;  // of the lines passed on
  Step step_ = Step::connecting;
  bool no_descriptor_ = false;
};

UpstreamConnector::UpstreamConnector(net::EventLoop& event_loop, Micros connect_limit, ReadReport read_report,
                                     Told told)
    : event_loop_(event_loop), connect_limit_(connect_limit), read_report_(std::move(read_report)),
      told_(std::move(told)) {}

UpstreamConnector::~UpstreamConnector() = default;

std::shared_ptr<UpstreamConnector::Server> UpstreamConnector::admit(
    const std::shared_ptr<ProxySession>& session, Micros limit) {
  const auto server = std::make_shared<Server>(*this, ++last_, session, limit);
  servers_.emplace(last_, server);
  return server;
}

void UpstreamConnector::start(const std::shared_ptr<ProxySession>& session, const net::Address& to,
                              Micros limit) {
  const auto server = admit(session, limit);
  server->start(to, server);
}

void UpstreamConnector::stands(const std::shared_ptr<ProxySession>& session, net::SocketPtr socket) {
  admit(session, 0)->stand(std::move(socket));
}

void UpstreamConnector::silent_for(Micros wait, const std::function<void(ProxySession&)>& tell) {
  std::vector<std::shared_ptr<Server>> silent;
  for (const auto& [number, server] : servers_) {
    if (server->session().unanswered_for(event_loop_.now()) >= wait) silent.push_back(server);
  }
  for (const auto& server : silent) tell(server->session());
}

}  // namespace cherryrail::proxy
