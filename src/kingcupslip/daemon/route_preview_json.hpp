// The preview of a route as an operator reads it.
#ifndef KINGCUPSLIP_DAEMON_ROUTE_PREVIEW_JSON_HPP
#define KINGCUPSLIP_DAEMON_ROUTE_PREVIEW_JSON_HPP

#include "kingcupslip/core/outcome.hpp"
#include "kingcupslip/core/routed_node.hpp"

#include <string>

namespace kingcupslip {

/// The path of the request, followed by a query with `host`, `path` and `team`.
constexpr const char* route_preview_path = "/route?";

/// Answers a request for a preview: 200 with the preview, 400 without a host or
/// a path, 404 for a team or a route that is not known.
outcome answer_route_preview(const routed_node& n,
                             const std::string& request_target);

} // namespace kingcupslip

#endif
