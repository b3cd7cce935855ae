#include "protocol/open_request.hpp"

#include <algorithm>
#include <cmath>

namespace cherryrail::protocol {
namespace {

// Cuts off and returns what stands before the mark.
std::string_view next_part(std::string_view& text, char mark) {
  const std::size_t end = text.find(mark);
  const std::string_view part = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return part;
}

std::string_view value_in(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::string_view item = next_part(list, ',');
    if (item.size() > name.size() && item[name.size()] == '=' && item.starts_with(name))
      return item.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

std::optional<double> number_of(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    return {};
  return value;
}

std::uint64_t key_of(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (!text.empty() && error == std::errc{} && end == text.data() + text.size()) return key;
  key = 0xcbf29ce484222325ULL;  // FNV-1a: the same at every relay
  for (const char c : text) key = (key ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return text.empty() ? 0 : key;
}

OpenRequest::OpenRequest(std::string_view line) : line_(line) {
  std::string_view rest = line_;
  if (next_part(rest, ' ') != "OPEN") {
    fault_ = "it does not begin with OPEN";
    return;
  }
  id_ = next_part(rest, ' ');
  const std::string_view flow = next_part(rest, ' ');
  list_ = rest;
  if (id_.empty() || flow.empty()) fault_ = "it has no id or no flow";
  flow_ = key_of(flow);
}

std::string_view OpenRequest::value(std::string_view name) const { return value_in(list_, name); }

OpenRequest::Pieces OpenRequest::with_wait(Micros wait) const {
  Pieces pieces{};
  const std::string_view old = value("d");
  const std::string_view line = line_;
  if (old.empty()) {
    pieces.before = line;
    return pieces;
  }
  const auto at = static_cast<std::size_t>(old.data() - line.data());
  pieces.before = line.substr(0, at);
  pieces.after = line.substr(at + old.size());
  const auto end = std::to_chars(pieces.digits.data(), pieces.digits.data() + pieces.digits.size(),
                                 std::max<Micros>(1, wait / 1000));
  pieces.length = static_cast<std::size_t>(end.ptr - pieces.digits.data());
  return pieces;
}

BackendReply parse_backend_reply(std::string_view line) {
  const std::string_view word = next_part(line, ' ');
  constexpr std::pair<std::string_view, ReplyKind> kWords[] = {
      {"UP", ReplyKind::up},     {"BYE", ReplyKind::bye},   {"MOVE", ReplyKind::move},
      {"ERR", ReplyKind::error}, {"BUSY", ReplyKind::busy}, {"LOAD", ReplyKind::load},
      {"PONG", ReplyKind::pong}};
  for (const auto& [text, reply] : kWords) {
    if (word == text) return {reply, line};
  }
  return {ReplyKind::other, line};
}

std::optional<double> report_field(std::string_view report, std::string_view field) {
  return number_of(value_in(report, field));
}

}  // namespace cherryrail::protocol
