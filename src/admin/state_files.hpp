// The names of a relay's files in the state directory, which its processes share. Processes of different
// builds use these files, so the names must not change.
#pragma once

#include <string>
#include <string_view>

namespace cherryrail::admin {

inline constexpr std::string_view kDisabledBackendsSuffix = "bans";
inline constexpr std::string_view kServingProcessSuffix = "serves";
inline constexpr std::string_view kEndpointsSuffix = "endpoints";

// Returns "cherryrail-NAME.SUFFIX", which differs between relays that share the directory. Characters of the
// relay's name other than letters, digits and hyphens are replaced by "_".
std::string state_file_name(const std::string& relay_name, std::string_view suffix);

}  // namespace cherryrail::admin
