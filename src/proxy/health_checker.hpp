// Looks at backends: one connection each, kept while it is used.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "balancer/balancer.hpp"
#include "net/connection.hpp"

namespace cherryrail::proxy {

class HealthChecker {
 public:
  using Tell = std::function<void(const AttemptOutcome&, std::string_view report)>;

  // `word` is what a probe says, PING or STATS; it is given up after `limit`.
  HealthChecker(net::EventLoop& event_loop, std::string word, Micros connect_limit, Micros limit,
                Micros idle);
  ~HealthChecker();
  // Looks once at the backend of that name; `tell` hears how it went, soon, and once.
  void look(const std::string& uid, const net::Address& to, Tell tell);

 private:
  class HealthCheck;

  net::EventLoop& event_loop_;
  std::string word_;
  Micros connect_limit_, limit_, idle_;
  std::map<std::string, std::shared_ptr<HealthCheck>> probes_;
};

}  // namespace cherryrail::proxy
