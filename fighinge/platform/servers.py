"""HTTP servers for the platform's requests: readiness, addresses and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from fighinge.router.addresses import choose_routers
from fighinge.router.process import ADDRESS_TTL_S

if TYPE_CHECKING:
    from fighinge.router.process import Router


class _Handler(RequestHandler):
    """Base class of handlers, with access to the router."""

    def initialize(self, router: Router) -> None:
        self.router = router


class ReadyHandler(_Handler):
    """Reports whether the router is ready for callers' requests."""

    def get(self) -> None:
        self.set_status(200 if self.router.is_ready else 503)
        self.finish()


class ResolveHandler(_Handler):
    """Returns the router addresses for a caller and their TTL."""

    def get(self) -> None:
        settings = self.router.settings
        routers = choose_routers(
            self.router.peers.routers_for_callers(),
            self.get_query_argument("zone", ""),
            settings.region_by_zone,
            self.router.server_zones,
        )
        answer = {
            "addrs": [f"{router.host}:{settings.caller_port}" for router in routers],
            "ttl_s": min(ADDRESS_TTL_S, settings.max_address_ttl_s),
        }
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(answer))


class MetricsHandler(_Handler):
    """Serves metrics in the Prometheus text format."""

    def get(self) -> None:
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.finish(generate_latest())


async def start_servers(router: Router, metrics_port: int) -> list[HTTPServer]:
    """Start the servers for the platform's requests.

    :raises OSError: if an address cannot be opened, or is in use for too long
    """
    settings = router.settings
    context = {"router": router}
    routes_by_port = {
        settings.readiness_port: [("/v1/ready", ReadyHandler, context)],
        settings.address_port: [("/v1/resolve", ResolveHandler, context)],
        metrics_port: [("/metrics", MetricsHandler, context)],
    }
    servers = []
    for port, routes in routes_by_port.items():
        server = HTTPServer(Application(routes, log_function=lambda _handler: None))
        await router.listen(server.listen, port)
        servers.append(server)
    return servers
