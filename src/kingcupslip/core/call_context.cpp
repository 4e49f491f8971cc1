// Encodes the call context as dot-separated fields followed by an HMAC.
#include "kingcupslip/core/call_context.hpp"

#include "kingcupslip/core/contract_codec.hpp"
#include "kingcupslip/core/digest.hpp"

#include <charconv>
#include <system_error>
#include <vector>

namespace kingcupslip {

namespace {

constexpr std::string_view context_version = "v1";
constexpr std::size_t context_field_count = 9;

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> out;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = text.find(separator, begin);
    out.push_back(text.substr(begin, end - begin));
    if (end == std::string_view::npos) {
      return out;
    }
    begin = end + 1;
  }
}

template <class Number> bool read(std::string_view text, Number& out) {
  const std::from_chars_result r =
      std::from_chars(text.data(), text.data() + text.size(), out);
  return r.ec == std::errc() && r.ptr == text.data() + text.size();
}

std::string payload_of(const call_context& c) {
  std::string out(context_version);
  out += '.';
  out += c.team;
  out += '.';
  out += c.api_key_id;
  out += '.';
  out += std::to_string(c.deadline.count());
  out += '.';
  out += std::to_string(static_cast<int>(c.rank));
  out += '.';
  out += std::to_string(c.retries);
  out += '.';
  out += std::to_string(c.depth);
  out += '.';
  out += std::to_string(c.span_id);
  return out;
}

} // namespace

std::string sign_context(const call_context& c, std::string_view secret) {
  const std::string payload = payload_of(c);
  return payload + "." + hmac_hex(secret, payload);
}

std::optional<call_context> verify_context(std::string_view text,
                                           std::string_view secret) {
  const std::size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view payload = text.substr(0, dot);
  if (!equal_in_constant_time(hmac_hex(secret, payload),
                              text.substr(dot + 1))) {
    return std::nullopt;
  }
  const std::vector<std::string_view> fields = split(text, '.');
  call_context out;
  int rank = 0;
  std::int64_t deadline_ms = 0;
  if (fields.size() != context_field_count || fields[0] != context_version ||
      !read(fields[3], deadline_ms) || !read(fields[4], rank) ||
      !read(fields[5], out.retries) || !read(fields[6], out.depth) ||
      !read(fields[7], out.span_id)) {
    return std::nullopt;
  }
  out.team = fields[1];
  out.api_key_id = fields[2];
  out.deadline = wall_time(deadline_ms);
  out.rank = static_cast<priority>(rank);
  return out;
}

} // namespace kingcupslip
