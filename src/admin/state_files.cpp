#include "admin/state_files.hpp"

#include <glib.h>

#include <algorithm>
#include <cstddef>

namespace cherryrail::admin {
namespace {

// With what comes before and behind it, well below the 108 bytes that the path of a Unix socket may have.
constexpr std::size_t kLongestRelayName = 40;

bool is_unsafe_in_file_name(char character) { return !g_ascii_isalnum(character) && character != '-'; }

}  // namespace

std::string state_file_name(const std::string& relay_name, std::string_view suffix) {
  std::string name = relay_name.empty() ? "relay" : relay_name.substr(0, kLongestRelayName);
  std::replace_if(name.begin(), name.end(), is_unsafe_in_file_name, '_');
  return "cherryrail-" + name + "." + std::string(suffix);
}

}  // namespace cherryrail::admin
