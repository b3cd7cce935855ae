// The encoding of an EndpointSnapshot for the relay's other processes: in a file, or over the socket of a hot
// restart. These processes may run different builds, so the format of a version must not change.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "proxy/endpoint_snapshot.hpp"

namespace cherryrail::admin {

// Enough for some hundred thousand backends.
inline constexpr std::size_t kMaxEndpointSnapshotBytes = std::size_t{16} << 20;

// A line with the format, its version, the length and the checksum of the content, then the content as JSON.
std::string encode_endpoint_snapshot(const proxy::EndpointSnapshot& snapshot);

// Returns none unless `bytes` are exactly what encode_endpoint_snapshot() of this version has returned: a
// snapshot that is incomplete, damaged or of another version is refused as a whole.
std::optional<proxy::EndpointSnapshot> decode_endpoint_snapshot(std::string_view bytes);

}  // namespace cherryrail::admin
