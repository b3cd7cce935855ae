// Follows the list of backends at discovery by a watch, and moves over when discovery does.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/list.hpp"
#include "net/loop.hpp"

namespace cherryrail::net {

class Discovery {
 public:
  using Failed = std::function<void(Micros most)>;
  // Starts from the version known. `heard` gets each list; `failed` is told once for each watch that breaks
  // or cannot be had at the address that holds, and how soon it must be asked for again. `first_within` is
  // how long a call is given to bring its first line, twice as long after each that brought none.
  Discovery(Loop& loop, std::string address, std::int64_t version, Micros first_within,
            std::function<void(const List&)> heard, Failed failed);
  ~Discovery();
  // Watches for what has changed, unless a watch stands.
  void follow();
  // From now on the list is to be had there.
  void move_to(const std::string& address);

 private:
  class Feed;

  void first_line(const Feed& feed);
  void list_line(Feed& feed, const std::string& line);
  bool holds(const List& list);
  void over(const Feed& feed, const std::string& why, Micros most);

  Loop& loop_;
  std::string where_;
  std::int64_t version_;
  std::function<void(const List&)> heard_;
  Failed failed_;
  Micros first_within_;
  std::shared_ptr<Feed> feed_;         // at the address that holds
  std::shared_ptr<Feed> former_;       // at the one before: followed until the new one's first line
  std::optional<Micros> lower_since_;  // the address that holds has told a lower version since then
};

}  // namespace cherryrail::net
