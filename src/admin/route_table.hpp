// Dispatches HTTP requests to handlers by path and method.
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

// A response with the body {"error":MESSAGE}.
AdminResponse error_response(protocol::HttpStatus status, const std::string& message);

struct Route {
  std::string method;
  std::string path;
  std::function<AdminResponse(const std::string& body)> handler;
};

class RouteTable {
 public:
  explicit RouteTable(std::vector<Route> routes);

  // Returns the response of the route's handler, or status 500 if the handler throws; 404 for an unknown
  // path, 405 for a known path with another method. `request` must be complete.
  [[nodiscard]] AdminResponse dispatch(const protocol::HttpRequest& request) const;

 private:
  std::vector<Route> routes_;
};

}  // namespace cherryrail::admin
