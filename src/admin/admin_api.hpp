// The HTTP API of a running relay for operators and the platform.
#pragma once

#include <vector>

#include "admin/disabled_backends_sync.hpp"
#include "admin/endpoint_snapshot_sync.hpp"
#include "admin/route_table.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// GET /ready, GET /stats, POST /backends/disable and POST /backends/enable. All arguments must outlive
// the routes.
std::vector<Route> admin_api_routes(proxy::ProxyServer& proxy, DisabledBackendsSync& disabled_backends,
                                    const EndpointSnapshotSync& endpoint_snapshots);

}  // namespace cherryrail::admin
