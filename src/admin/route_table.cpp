#include "admin/route_table.hpp"

#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace cherryrail::admin {
namespace {

using protocol::HttpStatus;

AdminResponse call_handler(const Route& route, const std::string& body) {
  try {
    return route.handler(body);
  } catch (const std::exception& error) {
    return error_response(HttpStatus::internal_server_error, error.what());
  }
}

}  // namespace

AdminResponse error_response(HttpStatus status, const std::string& message) {
  return {status, nlohmann::json{{"error", message}}.dump()};
}

RouteTable::RouteTable(std::vector<Route> routes) : routes_(std::move(routes)) {}

AdminResponse RouteTable::dispatch(const protocol::HttpRequest& request) const {
  bool is_path_known = false;
  for (const Route& route : routes_) {
    if (route.path != request.path()) continue;
    is_path_known = true;
    if (route.method == request.method()) return call_handler(route, request.body());
  }
  if (is_path_known) return error_response(HttpStatus::method_not_allowed, "that path takes another method");
  return error_response(HttpStatus::not_found, "no such path");
}

}  // namespace cherryrail::admin
