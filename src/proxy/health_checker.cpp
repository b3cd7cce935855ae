#include "proxy/health_checker.hpp"

#include <utility>

#include "protocol/backend_reply.hpp"
#include "protocol/line_reader.hpp"

namespace cherryrail::proxy {

class HealthChecker::HealthCheck final : public net::ConnectionHandler,
                                         public std::enable_shared_from_this<HealthCheck> {
 public:
  HealthCheck(HealthChecker& probes, std::string uid, net::Address to)
      : probes_(probes), uid_(std::move(uid)), to_(std::move(to)) {}
  ~HealthCheck() {
    if (connection_) connection_->close();
  }

  void look(const net::Address& to, Tell tell) {
    tell_ = std::move(tell);
    began_ = probes_.event_loop_.now();
    ++turn_;
    if (to != to_) drop();
    to_ = to;
    if (connection_) {
      ask();
    } else {
      connection_ = net::Connection::connect(probes_.event_loop_, to_, *this).connection;
      up_ = false;
      if (!connection_) return over(AttemptResult::connect_failed, {});
      give_up_after(probes_.connect_limit_, true);
    }
    give_up_after(probes_.limit_, false);
  }

  void on_connected() override {
    up_ = true;
    ask();
  }
  void on_received(std::string_view bytes) override {
    lines_.feed(bytes, [this](std::string_view line) {
      const protocol::BackendReply answer = protocol::parse_backend_reply(line);
      if (answer.kind == protocol::ReplyKind::pong)
        over(AttemptResult::succeeded, answer.arguments);
      else  // turned away: too many, or none are allowed
        over(answer.kind == protocol::ReplyKind::error ? AttemptResult::error : AttemptResult::rejected,
             answer.arguments);
      return connection_ != nullptr;
    });
    if (lines_.is_overlong()) fail(AttemptResult::error);
  }
  void on_end_of_stream() override { fail(AttemptResult::reset); }
  void on_connection_lost() override { fail(up_ ? AttemptResult::reset : AttemptResult::connect_failed); }

 private:
  void ask() { connection_->send({probes_.word_, "\r\n"}); }
  void drop() {
    if (connection_) connection_->close();
    connection_.reset();
    lines_ = {};
  }
  void leave_line(const char* reason) const {
    probes_.event_loop_.log().write(net::Topic::connection, "health_check={} result={}", uid_, reason);
  }
  void fail(AttemptResult result) {
    leave_line(up_ ? "failed" : "connect_failed");
    drop();
    over(result, {});
  }
  void give_up_after(Micros limit, bool only_connecting) {
    probes_.event_loop_.call_at(began_ + limit, [weak = weak_from_this(), turn = turn_, only_connecting] {
      const auto self = weak.lock();
      if (!self || !self->tell_ || self->turn_ != turn || (only_connecting && self->up_)) return;
      self->fail(self->up_ ? AttemptResult::timed_out : AttemptResult::connect_failed);
    });
  }
  void over(AttemptResult result, std::string_view report) {
    const Micros now = probes_.event_loop_.now();
    if (tell_)
      probes_.event_loop_.post([tell = std::exchange(tell_, nullptr),
                                outcome = AttemptOutcome{result, now - began_},
                                report = std::string(report)] { tell(outcome, report); });
    // A connection that is not used costs the backend room.
    probes_.event_loop_.call_at(now + probes_.idle_, [weak = weak_from_this(), turn = turn_] {
      const auto self = weak.lock();
      if (!self || self->turn_ != turn) return;
      if (self->connection_) self->leave_line("idle_timeout");
      self->probes_.probes_.erase(self->uid_);
    });
  }

  HealthChecker& probes_;
  std::string uid_;
  net::Address to_;
  std::shared_ptr<net::Connection> connection_;
  protocol::LineReader lines_;
  Tell tell_;
  Micros began_ = 0;
  std::uint64_t turn_ = 0;
  bool up_ = false;
};

HealthChecker::HealthChecker(net::EventLoop& event_loop, std::string word, Micros connect_limit, Micros limit,
                             Micros idle)
    : event_loop_(event_loop), word_(std::move(word)), connect_limit_(connect_limit), limit_(limit),
      idle_(idle) {}

HealthChecker::~HealthChecker() = default;

void HealthChecker::look(const std::string& uid, const net::Address& to, Tell tell) {
  auto& probe = probes_[uid];
  if (!probe) probe = std::make_shared<HealthCheck>(*this, uid, to);
  probe->look(to, std::move(tell));
}

}  // namespace cherryrail::proxy
