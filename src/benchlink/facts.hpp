// The settings text of a Spawn, read into the module's SiteTerms.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "brain.hpp"

namespace cherryrail::benchlink {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Facts {
  SiteTerms terms;
  std::optional<std::size_t> utilisation_at;  // position in a load report
};

Micros micros_of(double milliseconds);

// Throws WireError naming the key and what is wrong with its value; keys that are not known are skipped.
Facts read_facts(std::string_view text);

}  // namespace cherryrail::benchlink
