#include "benchlink/link.hpp"

#include <bit>
#include <cstring>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cherryrail::benchlink {
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
    return micros_of(value);
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

Facts read_site(std::string_view text) {
  try {
    return read_facts(split_settings(text));
  } catch (const BadSetting& bad) {
    throw WireError(bad.what());
  }
}

struct BenchTunnel : Tunnel {
  std::uint32_t id = 0;
  std::uint8_t sends = 0;
};

struct BenchBackend : Backend {
  std::uint32_t id = 0;
};

std::uint32_t id_of(Tunnel& tun) { return static_cast<BenchTunnel&>(tun).id; }
std::uint32_t id_of(Backend& ep) { return static_cast<BenchBackend&>(ep).id; }

}  // namespace

class Instance final : public Host {
 public:
  Instance(std::uint16_t number, std::string& out, Micros now, Facts facts, std::uint64_t seed)
      : number_(number), out_(out), now_(now), utilisation_at_(facts.utilisation_at),
        profiles_(facts.terms.profiles.size()), relay_(*this, facts.terms, seed) {}

  void roster(Reader& in);
  void query(Reader& in);
  void already_open(Reader& in);
  void outcome(Reader& in);
  void established(Reader& in);
  void health(Reader& in);
  void client_gone(Reader& in);
  void heartbeat(Reader& in);
  void wakeup(Reader& in);

  void begin(Micros now) { now_ = now; }
  // Tunnels answered without a setup out are over; the others go with their last outcome.
  void sweep() {
    for (const std::uint32_t id : answered_) forget_if_over(id);
    answered_.clear();
  }

  Micros now() const override { return now_; }
  void send_setup(Tunnel& tun, Backend& ep, Micros limit) override {
    ++static_cast<BenchTunnel&>(tun).sends;
    // On the wire no time-out at all is 0; one that has run out is negative.
    put(out_, std::uint16_t{1000}, number_, id_of(tun), id_of(ep), limit > 0 ? millis_of(limit) : -1.0);
  }
  void abandon_setup(Tunnel& tun) override {
    const std::uint8_t sends = static_cast<BenchTunnel&>(tun).sends;
    if (sends > 0) put(out_, std::uint16_t{1030}, number_, id_of(tun), static_cast<std::uint8_t>(sends - 1));
  }
  void decline(Tunnel& tun, Micros hold_off) override {
    put(out_, std::uint16_t{1010}, number_, id_of(tun), millis_of(hold_off));
    answered_.push_back(id_of(tun));
  }
  void close_with_error(Tunnel& tun) override {
    put(out_, std::uint16_t{1020}, number_, id_of(tun));
    answered_.push_back(id_of(tun));
  }
  void move(Tunnel& tun) override { put(out_, std::uint16_t{1120}, number_, id_of(tun)); }
  void probe(Backend& ep) override { put(out_, std::uint16_t{1050}, number_, id_of(ep)); }
  void follow_list() override { put(out_, std::uint16_t{1100}, number_, std::uint8_t{1}); }
  void wake_at(Micros when, std::function<void()> then) override {
    alarms_.emplace(++last_alarm_, std::move(then));
    put(out_, std::uint16_t{1040}, number_, last_alarm_, millis_of(when));
  }
  void log(const std::string& line) override { put_text(out_, 1080, number_, line); }

 private:
  BenchTunnel* tunnel(std::uint32_t id) const {
    const auto found = tunnels_.find(id);
    return found == tunnels_.end() ? nullptr : found->second.get();
  }
  void forget_if_over(std::uint32_t id) {
    const BenchTunnel* tun = tunnel(id);
    if (tun && tun->answered && !tun->ep) tunnels_.erase(id);
  }
  std::shared_ptr<BenchTunnel> read_tunnel(Reader& in, std::uint32_t id, std::uint8_t profile) const;
  void read_rest(Reader& in, BenchTunnel& tun, std::uint8_t flags) const;
  static Result read_result(Reader& in);
  LoadReport read_report(Reader& in) const;

  std::uint16_t number_;
  std::string& out_;
  Micros now_;
  std::optional<std::size_t> utilisation_at_;
  std::size_t profiles_;
  // Looked up by id only, never walked: their order means nothing.
  std::unordered_map<std::uint32_t, std::shared_ptr<BenchTunnel>> tunnels_;
  std::unordered_map<std::uint64_t, std::function<void()>> alarms_;
  std::map<std::uint32_t, std::shared_ptr<BenchBackend>> backends_;
  std::vector<std::uint32_t> answered_;
  std::uint64_t last_alarm_ = 0;
  Relay relay_;  // last: it acts through the rest from its first moment on
};

Result Instance::read_result(Reader& in) {
  static constexpr Result kResults[] = {
      Result::opened,         Result::error, Result::rejected,  Result::timed_out,
      Result::connect_failed, Result::reset, Result::cancelled, Result::moot};
  const auto code = in.take<std::uint16_t>("disposition");
  if (code < 1 || code > 8) in.fail("unknown disposition " + std::to_string(code));
  return kResults[code - 1];
}

LoadReport Instance::read_report(Reader& in) const {
  LoadReport report;
  const auto count = in.take<std::uint8_t>("stats");
  for (std::size_t i = 0; i < count; ++i) {
    const float value = in.take<float>("stats");
    if (utilisation_at_ == i && value >= 0 && value < 1e6F) report.utilisation = value;
  }
  return report;
}

void Instance::roster(Reader& in) {
  in.take<std::uint32_t>("index");
  const auto mode = in.take<std::uint8_t>("mode");
  if (mode > 3) in.fail("unknown list mode " + std::to_string(mode));
  const auto rows = in.take<std::uint32_t>("rows");
  struct Row {
    std::shared_ptr<BenchBackend> ep;
    Standing standing;
    double size;
    Micros since;
  };
  std::vector<Row> read;
  std::map<std::uint32_t, bool> named;
  for (std::uint32_t i = 0; i < rows; ++i) {
    const auto id = in.take<std::uint32_t>("backend");
    const auto zone = in.take<std::uint8_t>("area");
    in.take<std::uint8_t>("model");
    const auto cell = in.take<std::uint16_t>("block");
    const auto state = in.take<std::uint8_t>("stage_state");
    const auto weight = in.take<float>("weight");
    const Micros since = in.time("since");
    if (state > 2) in.fail("unknown stage_state " + std::to_string(state));
    auto& ep = backends_[id];
    if (!ep) {
      ep = std::make_shared<BenchBackend>();
      ep->id = id;
      ep->name = id;
    }
    ep->zone = zone;
    ep->cell = cell;
    named[id] = true;
    const Standing standing = state == 0 ? Standing::ready : state == 1 ? Standing::gone : Standing::draining;
    read.push_back({ep, standing, weight >= 0 && weight < 1e9F ? static_cast<double>(weight) : 0, since});
  }
  if (mode == 2) return relay_.list_failed();
  for (const Row& row : read) relay_.list_entry(row.ep, row.standing, row.size, row.since);
  if (mode != 1) {  // a complete list: what it leaves out has been removed
    for (const auto& [id, ep] : backends_) {
      if (!named.contains(id)) relay_.list_entry(ep, Standing::gone, ep->size, ep->since);
    }
  }
  if (mode != 3) relay_.list_read();
}

std::shared_ptr<BenchTunnel> Instance::read_tunnel(Reader& in, std::uint32_t id, std::uint8_t profile) const {
  if (profile >= profiles_) in.fail("unknown band " + std::to_string(profile));
  auto tun = std::make_shared<BenchTunnel>();
  tun->id = id;
  tun->profile = &relay_.profiles()[profile];
  return tun;
}

void Instance::read_rest(Reader& in, BenchTunnel& tun, std::uint8_t flags) const {
  tun.expires_at = now_ + in.time("expires_in");
  tun.tenant = in.take<std::uint32_t>("realm");
  const double hint = in.take<double>("work_hint");
  if ((flags & 1) && hint > 0) tun.hinted_load = hint * 1000;  // told in milliseconds of work a second
  tun.mid_flow = (flags & 8) != 0;
  tun.returning = (flags & (2 | 16)) != 0;
}

void Instance::query(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  const auto tun = read_tunnel(in, id, in.take<std::uint8_t>("band"));
  const auto flags = in.take<std::uint8_t>("bitmap");
  tun->group_key = in.take<std::uint64_t>("room");
  tun->client_key = in.take<std::uint64_t>("affinity");
  read_rest(in, *tun, flags);
  tunnels_.insert_or_assign(id, tun);
  relay_.take(tun);
}

void Instance::already_open(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  const auto tun = read_tunnel(in, id, in.take<std::uint8_t>("band"));
  tun->group_key = in.take<std::uint64_t>("room");
  tun->client_key = in.take<std::uint64_t>("affinity");
  const auto backend = in.take<std::uint32_t>("backend");
  read_rest(in, *tun, in.take<std::uint8_t>("bitmap"));
  const auto ep = backends_.find(backend);
  if (ep == backends_.end())
    in.fail("AlreadyOpen on a backend that no list named: " + std::to_string(backend));
  tun->sends = 1;
  tunnels_.insert_or_assign(id, tun);
  relay_.adopt(tun, ep->second);
}

void Instance::outcome(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  Ending ending;
  ending.result = read_result(in);
  ending.took = in.time("cost_time");
  const bool finished = in.take<std::uint8_t>("done_flag") != 0;
  const LoadReport report = read_report(in);
  if (BenchTunnel* tun = tunnel(id)) {
    relay_.setup_ended(*tun, ending, finished, report);
    forget_if_over(id);
  }
}

void Instance::established(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  const Micros took = in.time("cost_time");
  if (BenchTunnel* tun = tunnel(id)) relay_.established(*tun, took);
}

void Instance::health(Reader& in) {
  const auto backend = in.take<std::uint32_t>("backend");
  Ending ending;
  ending.result = read_result(in);
  ending.took = in.time("cost_time");
  const LoadReport report = read_report(in);
  const auto ep = backends_.find(backend);
  if (ep != backends_.end()) relay_.probe_ended(*ep->second, ending, report);
}

void Instance::client_gone(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  if (BenchTunnel* tun = tunnel(id)) {
    relay_.client_gone(*tun);
    forget_if_over(id);
  }
}

void Instance::heartbeat(Reader& in) {
  const auto id = in.take<std::uint32_t>("req");
  in.take<std::uint8_t>("send_no");
  in.take<std::uint32_t>("backend");
  const auto what = in.take<std::uint8_t>("what");
  const double amount = static_cast<double>(in.take<float>("amount"));
  BenchTunnel* tun = tunnel(id);
  if (!tun || !(amount >= 0 && amount < 1e12)) return;
  if (what == 1) relay_.load_told(*tun, amount);
  if (what == 2) relay_.delay_told(*tun, micros_of(amount));
}

void Instance::wakeup(Reader& in) {
  const auto found = alarms_.find(in.take<std::uint64_t>("handle"));
  if (found == alarms_.end()) return;
  const auto then = std::move(found->second);
  alarms_.erase(found);
  then();
}

Link::Link() = default;
Link::~Link() = default;

std::size_t Link::frame_length(std::string_view bytes) {
  if (bytes.size() < kHeader) return 0;
  Reader in(bytes);
  in.take<double>("clock");
  const auto length = in.take<std::uint32_t>("length");
  if (length < kHeader)
    throw WireError("at byte 8 of the batch: a frame length of " + std::to_string(length) + " is too short");
  return length;
}

std::string_view Link::play(std::string_view frame) {
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
    Instance* instance = code == 1070 ? nullptr : found->second.get();
    if (instance) instance->begin(now);
    try {
      switch (code) {
        case 1070: {
          const auto seed = in.take<std::uint64_t>("salt");
          const auto length = in.take<std::uint32_t>("facts");
          Facts facts = read_site(in.run(length, "facts"));
          instances_[number] = std::make_unique<Instance>(number, reply_, now, std::move(facts), seed);
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
          instance->client_gone(in);
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

}  // namespace cherryrail::benchlink
