#include "admin/state_files.hpp"

#include <glib.h>

#include <algorithm>
#include <cstddef>

namespace cherryrail::admin {
namespace {

// With prefix and suffix, well below the limit of 108 bytes for the path of a Unix socket.
constexpr std::size_t kMaxRelayNameLength = 40;

bool is_unsafe_in_file_name(char character) { return !g_ascii_isalnum(character) && character != '-'; }

}  // namespace

std::string state_file_name(const std::string& relay_name, std::string_view suffix) {
  std::string name = relay_name.empty() ? "relay" : relay_name.substr(0, kMaxRelayNameLength);
  std::replace_if(name.begin(), name.end(), is_unsafe_in_file_name, '_');
  return "cherryrail-" + name + "." + std::string(suffix);
}

}  // namespace cherryrail::admin
