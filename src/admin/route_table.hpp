// Which HTTP request is answered by what.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "protocol/http_request.hpp"
#include "protocol/http_status.hpp"

namespace cherryrail::admin {

struct AdminResponse {
  protocol::HttpStatus status = protocol::HttpStatus::ok;
  std::string body;  // JSON
};

// {"error":MESSAGE} with that status.
AdminResponse error_response(protocol::HttpStatus status, const std::string& message);

struct Route {
  std::string method;
  std::string path;
  std::function<AdminResponse(const std::string& body)> handler;
};

class RouteTable {
 public:
  explicit RouteTable(std::vector<Route> routes);

  // The answer of the route's handler, 500 if that throws; 404 for an unknown path, 405 for a known one with
  // another method. `request` has to be complete.
  [[nodiscard]] AdminResponse dispatch(const protocol::HttpRequest& request) const;

 private:
  std::vector<Route> routes_;
};

}  // namespace cherryrail::admin
