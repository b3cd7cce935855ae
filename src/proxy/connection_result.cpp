#include "proxy/connection_result.hpp"

namespace cherryrail::proxy {

UpstreamResult to_upstream_result(AttemptResult result) {
  switch (result) {
    case AttemptResult::succeeded:
      return UpstreamResult::served;
    case AttemptResult::error:
      return UpstreamResult::error;
    case AttemptResult::rejected:
      return UpstreamResult::rejected;
    case AttemptResult::timed_out:
      return UpstreamResult::timed_out;
    case AttemptResult::connect_failed:
      return UpstreamResult::connect_failed;
    case AttemptResult::reset:
      return UpstreamResult::backend_closed;
    case AttemptResult::cancelled:
      return UpstreamResult::cancelled;
    case AttemptResult::not_sent:
      return UpstreamResult::not_sent;
  }
  return UpstreamResult::error;
}

std::string_view to_string(DownstreamResult result) {
  switch (result) {
    case DownstreamResult::served:
      return "served";
    case DownstreamResult::backend_closed:
      return "backend_closed";
    case DownstreamResult::client_closed:
      return "client_closed";
    case DownstreamResult::client_left:
      return "client_left";
    case DownstreamResult::migrated:
      return "migrated";
    case DownstreamResult::handed_over:
      return "handed_over";
    case DownstreamResult::failed:
      return "failed";
    case DownstreamResult::early_data:
      return "early_data";
    case DownstreamResult::request_timeout:
      return "request_timeout";
    case DownstreamResult::line_too_long:
      return "line_too_long";
    case DownstreamResult::bad_request:
      return "bad_request";
    case DownstreamResult::no_descriptors:
      return "no_descriptors";
    case DownstreamResult::shutting_down:
      return "shutting_down";
    case DownstreamResult::rejected_shutting_down:
      return "rejected reason=shutting_down";
    case DownstreamResult::rejected_attempts_failed:
      return "rejected reason=attempts_failed";
    case DownstreamResult::rejected_backends_warming_up:
      return "rejected reason=backends_warming_up";
    case DownstreamResult::rejected_no_capacity:
      return "rejected reason=no_capacity";
    case DownstreamResult::rejected_no_backend:
      return "rejected reason=no_backend";
  }
  return "unknown";
}

std::string_view to_string(UpstreamResult result) {
  switch (result) {
    case UpstreamResult::served:
      return "served";
    case UpstreamResult::error:
      return "error";
    case UpstreamResult::rejected:
      return "rejected";
    case UpstreamResult::timed_out:
      return "timed_out";
    case UpstreamResult::connect_failed:
      return "connect_failed";
    case UpstreamResult::backend_closed:
      return "backend_closed";
    case UpstreamResult::cancelled:
      return "cancelled";
    case UpstreamResult::not_sent:
      return "not_sent";
    case UpstreamResult::no_descriptors:
      return "no_descriptors";
    case UpstreamResult::abandoned:
      return "abandoned";
    case UpstreamResult::handed_over:
      return "handed_over";
  }
  return "unknown";
}

}  // namespace cherryrail::proxy
