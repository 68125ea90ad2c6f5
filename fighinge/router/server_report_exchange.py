"""Sends own observations of backend servers to the routers that carry callers, and takes in theirs.

Also probes servers in doubt, one router at a time, by opening a connection without a request.
"""

from __future__ import annotations

import asyncio
import math
from itertools import islice
from typing import TYPE_CHECKING

from fighinge.router.metrics import SERVER_REPORTS
from fighinge.router.received_reports import ReceivedReport
from fighinge.router.server_reports import (
    SLOW_RATIO,
    ReportPlan,
    ServerReports,
    report_receivers,
    trial_router,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from fighinge.aggregator.base import Address
    from fighinge.router.addresses import RouterAddress
    from fighinge.router.backend import Backend
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.peer_channel import PeerChannel
    from fighinge.router.pool import BackendPool
    from fighinge.router.reachability import Reachability
    from fighinge.router.server_reports import ServerReport

RECEIVERS_TTL_S = 0.5  # the selection of routers changes seldom
MAX_FOLLOWED = 64  # the budget of bytes has room for some 20 reports a second to each router
MAX_PROBES = 4  # at the same time; each takes up to a connection timeout


class ServerReportExchange:
    """The reports that this router sends and receives, where load management is on.

    Routers without callers heed reports too, but try servers in doubt as before: they get no
    reports.
    """

    __slots__ = (
        "_accepted",
        "_accepts_connections",
        "_carrying",
        "_carrying_until_s",
        "_channel",
        "_followed",
        "_links",
        "_log",
        "_own",
        "_plan",
        "_pool",
        "_probed",
        "_probes",
        "_routers_for_callers",
        "_wall_clock",
    )

    def __init__(
        self,
        pool: BackendPool,
        channel: PeerChannel,
        own: RouterAddress,
        routers_for_callers: Callable[[], list[RouterAddress]],
        accepts_connections: Callable[[Address], Awaitable[bool]],
        links: Reachability,
        log: DecisionLog,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Initialise the exchange, and have the pool ask it about servers in doubt.

        :param routers_for_callers: returns the routers that callers are sent to
        :param accepts_connections: opens a connection to a server without a request
        :param links: tells whether failures may come from this router's links
        """
        self._pool = pool
        self._channel = channel
        self._own = own
        self._routers_for_callers = routers_for_callers
        self._accepts_connections = accepts_connections
        self._links = links
        self._log = log
        self._wall_clock = wall_clock
        self._plan = ReportPlan(clock())
        self._followed: set[Backend] = set()
        self._carrying: list[RouterAddress] = []
        self._carrying_until_s = float("-inf")
        self._probed: dict[Backend, int] = {}
        self._accepted: dict[Backend, int] = {}
        self._probes: set[asyncio.Task] = set()
        channel.handle(ServerReports, lambda message, host: self._receive(message, host, clock()))
        pool.is_excluded = self.is_excluded

    def close(self) -> None:
        """Cancel the probes in progress."""
        for probe in self._probes:
            probe.cancel()

    def is_excluded(self, backend: Backend, now_s: float) -> bool:
        """Return whether other servers of the service should be called instead of this one."""
        if not self._pool.load_policy.is_on or not backend.is_in_doubt(now_s):
            return False
        return self._carries_callers and self._accepted.get(backend) != self._turn

    def update(self, now_s: float) -> None:
        """Send what is due, and probe servers in doubt; called ten times a second."""
        troubled = self._pool.pop_troubled()
        if not self._pool.load_policy.is_on or self._links.is_cut_off:
            self._plan.clear()
            self._followed.clear()
            self._pool.doubtful.clear()
            return
        self._pool.doubtful.update(backend for backend in troubled if backend.is_in_doubt(now_s))
        room = max(0, MAX_FOLLOWED - len(self._followed))
        self._followed = {
            backend
            for backend in self._followed.union(islice(troubled - self._followed, room))
            if self._plan.observe(backend.condition(now_s), now_s)
        }
        if self._followed or self._pool.doubtful:
            self._refresh_carrying(now_s)
            self._send(now_s)
            self._probe_doubtful(now_s)

    @property
    def _turn(self) -> int:
        return math.floor(self._wall_clock())

    @property
    def _carries_callers(self) -> bool:
        return any(router.host == self._own.host for router in self._carrying)

    def _refresh_carrying(self, now_s: float) -> None:
        if now_s >= self._carrying_until_s:
            self._carrying = self._routers_for_callers()
            self._carrying_until_s = now_s + RECEIVERS_TTL_S

    def _send(self, now_s: float) -> None:
        receivers = report_receivers(self._carrying, self._own, self._turn)
        reports = self._plan.take(
            len(receivers),
            now_s,
            carries_callers=self._carries_callers,
            holds_failures=self._links.is_suspected(now_s),
        )
        if not reports:
            return
        SERVER_REPORTS.labels("sent").inc(len(reports))
        message = ServerReports(self._own.zone, tuple(reports))
        for router in receivers:
            self._channel.send(router.host, message)

    def _receive(self, message: ServerReports, host: str, now_s: float) -> None:
        if not self._pool.load_policy.is_on or host == self._own.host:
            return
        self._refresh_carrying(now_s)
        for report in message.reports:
            backend = self._pool.find_run(report.instance_id, report.started_ms)
            SERVER_REPORTS.labels("received" if backend else "unknown_server").inc()
            if backend is not None:
                self._apply_report(backend, report, message.zone, host, now_s)

    def _apply_report(
        self, backend: Backend, report: ServerReport, zone: str, host: str, now_s: float
    ) -> None:
        was_in_doubt = backend.is_in_doubt(now_s)
        was_slow = backend.slowness(now_s) >= SLOW_RATIO
        received = ReceivedReport(
            backend.record.service,
            backend.record.run_name,
            max(1.0, report.slowness_tenths / 10),
            report.failing_percent / 100,
            report.state,
            report.age_ms / 1000,
            host,
            zone,
            zone == self._own.zone,
        )
        backend.record_report(received, now_s)
        is_in_doubt = backend.is_in_doubt(now_s)
        is_slow = backend.slowness(now_s) >= SLOW_RATIO
        if is_in_doubt:
            self._pool.doubtful.add(backend)
        if (is_in_doubt, is_slow) != (was_in_doubt, was_slow):
            self._log.write(
                "backend server reported",
                backend=backend.record.instance_id,
                service=received.service,
                peer=host,
                zone=zone,
                age_s=received.age_s,
                reported_slowness=received.slowness,
                reported_failing=received.failing_share,
                state=received.state,
                in_doubt=is_in_doubt,
                slow=is_slow,
            )

    def _probe_doubtful(self, now_s: float) -> None:
        """Probe the servers in doubt whose turn is at this router, each once in a turn."""
        turn = self._turn
        doubtful = self._pool.doubtful
        doubtful.difference_update(
            [
                backend
                for backend in doubtful
                if not (backend.is_in_doubt(now_s) and self._pool.is_listed(backend))
            ]
        )
        for turns in (self._probed, self._accepted):
            for backend in [backend for backend in turns if backend not in doubtful]:
                del turns[backend]
        hosts = [router.host for router in self._carrying]
        for backend in doubtful:
            if len(self._probes) >= MAX_PROBES:
                return
            if self._probed.get(backend) == turn or backend.is_down(now_s):
                continue
            if trial_router(backend.record.run_name, hosts, turn) == self._own.host:
                self._probed[backend] = turn
                probe = asyncio.create_task(self._probe(backend, turn))
                self._probes.add(probe)
                probe.add_done_callback(self._probes.discard)

    async def _probe(self, backend: Backend, turn: int) -> None:
        """Open a connection; if it is accepted, calls may try the server in this turn."""
        is_accepted = await self._accepts_connections(backend.record.address)
        SERVER_REPORTS.labels("probe_accepted" if is_accepted else "probe_failed").inc()
        self._log.write(
            "backend server in doubt probed",
            backend=backend.record.instance_id,
            service=backend.record.service,
            accepted=is_accepted,
        )
        if is_accepted:
            self._accepted[backend] = turn
