#include "balancer/backend.hpp"

#include <cmath>

#include "balancer/hash.hpp"

namespace cherryrail {

double RendezvousScore::rank() const { return -std::log(draw) / weight; }

double capacity_order(const Session& session, const Backend& backend) {
  return uniform_draw(mix_hash(session.hash_key), backend.name_hash);
}

}  // namespace cherryrail
