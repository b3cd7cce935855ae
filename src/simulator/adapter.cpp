#include "simulator/adapter.hpp"

#include <bit>
#include <cstring>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/milliseconds.hpp"

namespace cherryrail::simulator {
namespace {

static_assert(std::endian::native == std::endian::little,
              "the wire is read and written as it lies in memory");

constexpr std::size_t kHeader = 16;

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <class Value>
  Value take(const char* what) {
    static_assert(std::is_trivially_copyable_v<Value>);
    Value value;
    std::memcpy(&value, run(sizeof(Value), what).data(), sizeof(Value));
    return value;
  }
  std::string_view run(std::size_t length, const char* what) {
    if (length > bytes_.size() - at_) fail(std::string("the frame ends inside ") + what);
    at_ += length;
    return bytes_.substr(at_ - length, length);
  }
  Micros time(const char* what) {
    const double value = take<double>(what);
    if (!(value > -1e15 && value < 1e15)) fail(std::string(what) + " is not a usable time");
    return config::micros_from_milliseconds(value);
  }
  [[noreturn]] void fail(const std::string& what) const {
    throw WireError("at byte " + std::to_string(at_) + " of the batch: " + what);
  }
  std::size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

template <class... Values>
void put(std::string& out, const Values&... values) {
  (out.append(reinterpret_cast<const char*>(&values), sizeof(values)), ...);
}

void put_text(std::string& out, std::uint16_t code, std::uint16_t instance, std::string_view text) {
  text = text.substr(0, 60000);
  put(out, code, instance, static_cast<std::uint16_t>(text.size()));
  out.append(text);
}

double millis_of(Micros time) { return static_cast<double>(time) / 1000; }

config::SiteSettings read_site(std::string_view text) {
  try {
    return config::read_site_settings(config::parse_setting_lines(text));
  } catch (const config::ConfigError& bad) {
    throw WireError(bad.what());
  }
}

struct SimulatorSession : Session {
  std::uint32_t id = 0;
  std::uint8_t sends = 0;
};

struct SimulatorBackend : Backend {
  std::uint32_t id = 0;
};

std::uint32_t id_of(Session& session) { return static_cast<SimulatorSession&>(session).id; }
std::uint32_t id_of(Backend& backend) { return static_cast<SimulatorBackend&>(backend).id; }

}  // namespace

class BalancerInstance final : public BalancerActions {
 public:
  BalancerInstance(std::uint16_t number, std::string& out, Micros now, config::SiteSettings settings,
                   std::uint64_t seed)
      : number_(number), out_(out), now_(now), utilization_index_(settings.utilization_index),
        traffic_classes_(settings.config.traffic_classes.size()), balancer_(*this, settings.config, seed) {}

  void roster(Reader& in);
  void query(Reader& in);
  void already_open(Reader& in);
  void outcome(Reader& in);
  void established(Reader& in);
  void health(Reader& in);
  void on_client_left(Reader& in);
  void heartbeat(Reader& in);
  void wakeup(Reader& in);

  void begin(Micros now) { now_ = now; }
  // Tunnels answered without a setup out are over; the others go with their last outcome.
  void sweep() {
    for (const std::uint32_t id : answered_) forget_if_over(id);
    answered_.clear();
  }

  Micros now() const override { return now_; }
  void start_attempt(Session& session, Backend& backend, Micros limit) override {
    ++static_cast<SimulatorSession&>(session).sends;
    // On the wire no time-out at all is 0; one that has run out is negative.
    put(out_, std::uint16_t{1000}, number_, id_of(session), id_of(backend),
        limit > 0 ? millis_of(limit) : -1.0);
  }
  void cancel_attempt(Session& session) override {
    const std::uint8_t sends = static_cast<SimulatorSession&>(session).sends;
    if (sends > 0)
      put(out_, std::uint16_t{1030}, number_, id_of(session), static_cast<std::uint8_t>(sends - 1));
  }
  void reject_session(Session& session, Micros retry_after) override {
    put(out_, std::uint16_t{1010}, number_, id_of(session), millis_of(retry_after));
    answered_.push_back(id_of(session));
  }
  void fail_session(Session& session) override {
    put(out_, std::uint16_t{1020}, number_, id_of(session));
    answered_.push_back(id_of(session));
  }
  void migrate_session(Session& session) override { put(out_, std::uint16_t{1120}, number_, id_of(session)); }
  void check_health(Backend& backend) override { put(out_, std::uint16_t{1050}, number_, id_of(backend)); }
  void watch_endpoints() override { put(out_, std::uint16_t{1100}, number_, std::uint8_t{1}); }
  void call_at(Micros when, std::function<void()> then) override {
    alarms_.emplace(++last_alarm_, std::move(then));
    put(out_, std::uint16_t{1040}, number_, last_alarm_, millis_of(when));
  }
  void log(const std::string& line) override { put_text(out_, 1080, number_, line); }

 private:
  SimulatorSession* tunnel(std::uint32_t id) const {
    const auto found = tunnels_.find(id);
    return found == tunnels_.end() ? nullptr : found->second.get();
  }
  void forget_if_over(std::uint32_t id) {
    const SimulatorSession* session = tunnel(id);
    if (session && session->is_answered && !session->backend) tunnels_.erase(id);
  }
  std::shared_ptr<SimulatorSession> read_tunnel(Reader& in, std::uint32_t id,
                                                std::uint8_t traffic_class) const;
  void read_rest(Reader& in, SimulatorSession& session, std::uint8_t flags) const;
  static AttemptResult read_result(Reader& in);
  LoadReport read_report(Reader& in) const;

  std::uint16_t number_;
  std::string& out_;
  Micros now_;
  std::optional<std::size_t> utilization_index_;
  std::size_t traffic_classes_;
  // Looked up by id only, never walked: their order means nothing.
  std::unordered_map<std::uint32_t, std::shared_ptr<SimulatorSession>> tunnels_;
  std::unordered_map<std::uint64_t, std::function<void()>> alarms_;
  std::map<std::uint32_t, std::shared_ptr<SimulatorBackend>> backends_;
  std::vector<std::uint32_t> answered_;
  std::uint64_t last_alarm_ = 0;
  Balancer balancer_;  // last: it acts through the rest from its first moment on
};

AttemptResult BalancerInstance::read_result(Reader& in) {
  static constexpr AttemptResult kResults[] = {
      AttemptResult::succeeded,      AttemptResult::error, AttemptResult::rejected,  AttemptResult::timed_out,
      AttemptResult::connect_failed, AttemptResult::reset, AttemptResult::cancelled, AttemptResult::not_sent};
  const auto code = in.take<std::uint16_t>("disposition");
  if (code < 1 || code > 8) in.fail("unknown disposition " + std::to_string(code));
  return kResults[code - 1];
}

LoadReport BalancerInstance::read_report(Reader& in) const {
  LoadReport report;
  const auto count = in.take<std::uint8_t>("stats");
  for (std::size_t i = 0; i < count; ++i) {
    const float value = in.take<float>("stats");
    if (utilization_index_ == i && value >= 0 && value < 1e6F) report.reported_utilization = value;
  }
  return report;
}

void BalancerInstance::roster(Reader& in) {
  in.take<std::uint32_t>("index");
  const auto mode = in.take<std::uint8_t>("mode");
  if (mode > 3) in.fail("unknown list mode " + std::to_string(mode));
  const auto rows = in.take<std::uint32_t>("rows");
  struct Row {
    std::shared_ptr<SimulatorBackend> backend;
    EndpointState state;
    double size;
    Micros started_at;
  };
  std::vector<Row> read;
  std::map<std::uint32_t, bool> named;
  for (std::uint32_t i = 0; i < rows; ++i) {
    const auto id = in.take<std::uint32_t>("backend");
    const auto zone = in.take<std::uint8_t>("area");
    in.take<std::uint8_t>("model");
    const auto cell = in.take<std::uint16_t>("block");
    const auto state_code = in.take<std::uint8_t>("stage_state");
    const auto weight = in.take<float>("weight");
    const Micros since = in.time("since");
    if (state_code > 2) in.fail("unknown stage_state " + std::to_string(state_code));
    auto& backend = backends_[id];
    if (!backend) {
      backend = std::make_shared<SimulatorBackend>();
      backend->id = id;
      backend->name = id;
    }
    backend->zone = zone;
    backend->cell = cell;
    named[id] = true;
    const EndpointState state = state_code == 0   ? EndpointState::ready
                                : state_code == 1 ? EndpointState::gone
                                                  : EndpointState::draining;
    read.push_back({backend, state, weight >= 0 && weight < 1e9F ? static_cast<double>(weight) : 0, since});
  }
  if (mode == 2) return balancer_.on_discovery_failed();
  for (const Row& row : read) balancer_.update_endpoint(row.backend, row.state, row.size, row.started_at);
  if (mode != 1) {  // a complete list: what it leaves out has been removed
    for (const auto& [id, backend] : backends_) {
      if (!named.contains(id))
        balancer_.update_endpoint(backend, EndpointState::gone, backend->size,
                                  backend->slow_start.started_at());
    }
  }
  if (mode != 3) balancer_.on_endpoints_updated();
}

std::shared_ptr<SimulatorSession> BalancerInstance::read_tunnel(Reader& in, std::uint32_t id,
                                                                std::uint8_t traffic_class) const {
  if (traffic_class >= traffic_classes_) in.fail("unknown band " + std::to_string(traffic_class));
  auto session = std::make_shared<SimulatorSession>();
  session->id = id;
  session->traffic_class = &balancer_.traffic_classes()[traffic_class];
  return session;
}

void BalancerInstance::read_rest(Reader& in, SimulatorSession& session, std::uint8_t flags) const {
  session.deadline = now_ + in.time("expires_in");
  session.tenant = in.take<std::uint32_t>("realm");
  const double hint = in.take<double>("work_hint");
  if ((flags & 1) && hint > 0) session.load_hint = hint * 1000;  // told in milliseconds of work a second
  session.is_mid_flow = (flags & 8) != 0;
  session.is_reconnecting = (flags & (2 | 16)) != 0;
}

void BalancerInstance::query(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  const auto session = read_tunnel(in, id, in.take<std::uint8_t>("band"));
  const auto flags = in.take<std::uint8_t>("bitmap");
  session->group_key = in.take<std::uint64_t>("room");
  session->client_key = in.take<std::uint64_t>("affinity");
  read_rest(in, *session, flags);
  tunnels_.insert_or_assign(id, session);
  balancer_.admit(session);
}

void BalancerInstance::already_open(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  const auto session = read_tunnel(in, id, in.take<std::uint8_t>("band"));
  session->group_key = in.take<std::uint64_t>("room");
  session->client_key = in.take<std::uint64_t>("affinity");
  const auto backend_id = in.take<std::uint32_t>("backend");
  read_rest(in, *session, in.take<std::uint8_t>("bitmap"));
  const auto backend = backends_.find(backend_id);
  if (backend == backends_.end())
    in.fail("AlreadyOpen on a backend that no list named: " + std::to_string(backend_id));
  session->sends = 1;
  tunnels_.insert_or_assign(id, session);
  balancer_.adopt(session, backend->second);
}

void BalancerInstance::outcome(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  AttemptOutcome outcome;
  outcome.result = read_result(in);
  outcome.duration = in.time("cost_time");
  const bool finished = in.take<std::uint8_t>("done_flag") != 0;
  const LoadReport report = read_report(in);
  if (SimulatorSession* session = tunnel(id)) {
    balancer_.on_attempt_ended(*session, outcome, finished, report);
    forget_if_over(id);
  }
}

void BalancerInstance::established(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  const Micros duration = in.time("cost_time");
  if (SimulatorSession* session = tunnel(id)) balancer_.on_established(*session, duration);
}

void BalancerInstance::health(Reader& in) {
  const auto backend_id = in.take<std::uint32_t>("backend");
  AttemptOutcome outcome;
  outcome.result = read_result(in);
  outcome.duration = in.time("cost_time");
  const LoadReport report = read_report(in);
  const auto backend = backends_.find(backend_id);
  if (backend != backends_.end()) balancer_.on_health_check_ended(*backend->second, outcome, report);
}

void BalancerInstance::on_client_left(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  if (SimulatorSession* session = tunnel(id)) {
    balancer_.on_client_left(*session);
    forget_if_over(id);
  }
}

void BalancerInstance::heartbeat(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  const auto what = in.take<std::uint8_t>("what");
  const double amount = static_cast<double>(in.take<float>("amount"));
  SimulatorSession* session = tunnel(id);
  if (!session || !(amount >= 0 && amount < 1e12)) return;
  if (what == 1) balancer_.on_load_reported(*session, amount);
  if (what == 2) balancer_.on_message_latency_reported(*session, config::micros_from_milliseconds(amount));
}

void BalancerInstance::wakeup(Reader& in) {
  const auto found = alarms_.find(in.take<std::uint64_t>("handle"));
  if (found == alarms_.end()) return;
  const auto then = std::move(found->second);
  alarms_.erase(found);
  then();
}

Adapter::Adapter() = default;
Adapter::~Adapter() = default;

std::size_t Adapter::frame_length(std::string_view bytes) {
  if (bytes.size() < kHeader) return 0;
  Reader in(bytes);
  in.take<double>("clock");
  const auto length = in.take<std::uint32_t>("length");
  if (length < kHeader)
    throw WireError("at byte 8 of the batch: a frame length of " + std::to_string(length) + " is too short");
  return length;
}

std::string_view Adapter::play(std::string_view frame) {
  Reader in(frame);
  const Micros now = in.time("clock");
  in.take<std::uint32_t>("length");
  const auto records = in.take<std::uint32_t>("number of records");
  reply_.assign(4, '\0');
  for (std::uint32_t i = 0; i < records; ++i) {
    const auto code = in.take<std::uint16_t>("a record's code");
    const auto number = in.take<std::uint16_t>("relay_id");
    if (code == 1010) {
      instances_.erase(number);
      continue;
    }
    const auto found = instances_.find(number);
    if (code != 1070 && found == instances_.end())
      in.fail("an event for instance " + std::to_string(number) + ", which was not started");
    BalancerInstance* instance = code == 1070 ? nullptr : found->second.get();
    if (instance) instance->begin(now);
    try {
      switch (code) {
        case 1070: {
          const auto seed = in.take<std::uint64_t>("salt");
          const auto length = in.take<std::uint32_t>("facts");
          config::SiteSettings settings = read_site(in.run(length, "facts"));
          instances_[number] =
              std::make_unique<BalancerInstance>(number, reply_, now, std::move(settings), seed);
          continue;
        }
        case 1080:
          instance->roster(in);
          break;
        case 1030:
          instance->query(in);
          break;
        case 1100:
          instance->already_open(in);
          break;
        case 1110:
          instance->outcome(in);
          break;
        case 1090:
          instance->established(in);
          break;
        case 1000:
          instance->health(in);
          break;
        case 1050:
          instance->on_client_left(in);
          break;
        case 1040:
          instance->heartbeat(in);
          break;
        case 1060:
          instance->wakeup(in);
          break;
        case 1020: {
          in.take<std::uint32_t>("author");
          in.run(in.take<std::uint16_t>("payload"), "payload");
          break;
        }
        default:
          in.fail("unknown event code " + std::to_string(code));
      }
      instance->sweep();
    } catch (const WireError&) {
      throw;
    } catch (const std::exception& failure) {
      put_text(reply_, 1090, number, failure.what());
      in.run(in.left(), "the rest");
      break;
    }
  }
  if (in.left() > 0) in.fail(std::to_string(in.left()) + " bytes left over after the last record");
  const auto length = static_cast<std::uint32_t>(reply_.size());
  std::memcpy(reply_.data(), &length, sizeof(length));
  return reply_;
}

}  // namespace cherryrail::simulator
