// The names of the files that a relay keeps in the folder that its processes share. Processes of different
// builds use them, so they stay as they are.
#pragma once

#include <string>
#include <string_view>

namespace cherryrail::admin {

inline constexpr std::string_view kDisabledBackendsSuffix = "bans";
inline constexpr std::string_view kServingProcessSuffix = "serves";

// "cherryrail-NAME.SUFFIX": this relay's own among those of other relays in the same folder. Whatever is not
// a letter, digit or hyphen in the relay's name becomes "_".
std::string state_file_name(const std::string& relay_name, std::string_view suffix);

}  // namespace cherryrail::admin
