// The HTTP status codes that nodes send or evaluate.
#ifndef KINGCUPSLIP_CORE_HTTP_STATUS_HPP
#define KINGCUPSLIP_CORE_HTTP_STATUS_HPP

#include <cstdint>

namespace kingcupslip::http_status {

constexpr std::uint16_t ok = 200;
constexpr std::uint16_t bad_request = 400;
constexpr std::uint16_t unauthorized = 401;
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t request_timeout = 408;
constexpr std::uint16_t conflict = 409;
constexpr std::uint16_t gone = 410;
constexpr std::uint16_t precondition_failed = 412;
constexpr std::uint16_t misdirected = 421;
constexpr std::uint16_t too_many_requests = 429;
constexpr std::uint16_t internal_error = 500;
constexpr std::uint16_t bad_gateway = 502;
constexpr std::uint16_t unavailable = 503;
constexpr std::uint16_t gateway_timeout = 504;

} // namespace kingcupslip::http_status

#endif
