#include "admin/endpoint_snapshot_codec.hpp"

#include <fmt/format.h>
#include <glib.h>

#include <memory>
#include <nlohmann/json.hpp>

#include "protocol/endpoint_list.hpp"
#include "protocol/protocol_error.hpp"

namespace cherryrail::admin {
namespace {

using nlohmann::json;

constexpr const char* kListKey = "list";
constexpr const char* kHighestVersionKey = "highest_rev";

std::string checksum(std::string_view content) {
  const std::unique_ptr<gchar, decltype(&g_free)> text(
      g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(content.data()),
                                  content.size()),
      &g_free);
  return text.get();
}

// Identifies the format, its version and the content that follows.
std::string header(std::string_view content) {
  return fmt::format("cherryrail-endpoints 1 {} {}\n", content.size(), checksum(content));
}

proxy::EndpointSnapshot parse_content(std::string_view content) {
  const json root = json::parse(content);
  proxy::EndpointSnapshot snapshot;
  snapshot.list = protocol::parse_endpoint_list(root.at(kListKey));
  root.at(kHighestVersionKey).get_to(snapshot.highest_version);
  return snapshot;
}

}  // namespace

// A uid from discovery may hold any bytes that JSON allows, so invalid UTF-8 is replaced and does not throw.
std::string encode_endpoint_snapshot(const proxy::EndpointSnapshot& snapshot) {
  const json root = {{kListKey, protocol::to_json(snapshot.list)},
                     {kHighestVersionKey, snapshot.highest_version}};
  const std::string content = root.dump(-1, ' ', false, json::error_handler_t::replace);
  return header(content) + content;
}

std::optional<proxy::EndpointSnapshot> decode_endpoint_snapshot(std::string_view bytes) {
  const std::size_t end_of_header = bytes.find('\n');
  if (bytes.size() > kMaxEndpointSnapshotBytes || end_of_header == std::string_view::npos) return {};
  const std::string_view content = bytes.substr(end_of_header + 1);
  if (bytes.substr(0, end_of_header + 1) != header(content)) return {};
  try {
    return parse_content(content);
  } catch (const json::exception&) {
    return {};
  } catch (const protocol::ProtocolError&) {
    return {};
  }
}

}  // namespace cherryrail::admin
