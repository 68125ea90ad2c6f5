"""A router process: its components, background tasks and graceful shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING

from tornado.web import Application

from fighinge.errors import Failure
from fighinge.overload import OverloadDetector
from fighinge.pauses import PauseDetector
from fighinge.router.addresses import RouterAddress, zones_with_servers
from fighinge.router.backend_calls import PooledBackendCalls
from fighinge.router.call_runner import CallRunner
from fighinge.router.caller_guard import CallerGuard
from fighinge.router.cold_limit import ColdLimits
from fighinge.router.crash_check import CrashCheck
from fighinge.router.crash_suspects import CrashSuspects
from fighinge.router.decision_log import describe_error
from fighinge.router.follower import Follower
from fighinge.router.forwarding import Forwarder, forwarding_routes
from fighinge.router.handover import Handover
from fighinge.router.host_load import HostLoad, HostUse
from fighinge.router.http_server import CallerServer
from fighinge.router.listening import open_when_free
from fighinge.router.metrics import ROUTERS, STORE_ERA, VERSION, VIEW_AGE
from fighinge.router.peer_channel import PeerChannel
from fighinge.router.peer_follower import PeerFollower, ReaderRole
from fighinge.router.peers import Peers
from fighinge.router.pool import BackendPool
from fighinge.router.reachability import Reachability
from fighinge.router.relay import Relay, relay_routes
from fighinge.router.retry_budget import RetryBudgetLimits
from fighinge.router.revisions import era_of
from fighinge.router.server_report_exchange import ServerReportExchange
from fighinge.router.service import RouterService
from fighinge.router.shared_quota import SharedQuota
from fighinge.router.staleness import StalenessDetector
from fighinge.router.typical_latency import TypicalLatencies
from fighinge.router.view import Topic, View
from fighinge.stop import StopRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Mapping

    from fighinge.router.changes import ViewSource
    from fighinge.router.decision_log import DecisionLog
    from fighinge.router.exchange import Codec
    from fighinge.router.settings import RouterSettings

HOUSEKEEPING_INTERVAL_S = 0.1  # a tenth of the shortest validity of state kept here
ADDRESS_TTL_S = 2.0  # short, so that callers soon stop using a failed router
DRAIN_DELAY_S = 2.5  # longer than the TTL of addresses, after which callers have resolved again
FLEET_START_READ_DELAY_S = 2.0  # all routers start within 0.3 s, many seconds before any caller
RESTART_READ_DELAY_S = 0.08  # a seed answers a restarted router within some milliseconds
PEER_CHANNEL_PORT_OFFSET = 2  # after the ports for gossip and metrics
SETTINGS_POLL_INTERVAL_S = 5.0  # applies a change within seconds if no SIGHUP is sent
RESTART_ONLY_SETTINGS = (
    *("address", "zone", "caller_port", "readiness_port", "address_port", "control_port"),
    *("gossip_port", "platform_address"),
)
CLOSE_RESERVE_S = 0.8  # for closing connections before the platform sends SIGKILL


def steady_clock() -> float:
    """Return a monotonic time in seconds that includes time in which the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _discard_access_log(_handler: object) -> None:
    """Omit requests of peers from the log."""


def _retry_budget_limits(settings: RouterSettings) -> RetryBudgetLimits:
    return RetryBudgetLimits(
        settings.retry_budget_ratio, settings.retry_budget_window_s, settings.retry_budget_slack
    )


class Router:
    """The components of a router process."""

    def __init__(
        self,
        settings: RouterSettings,
        codec: Codec,
        sources: Mapping[Topic, ViewSource],
        log: DecisionLog,
        read_settings: Callable[[], RouterSettings | Failure],
        idle_s: Callable[[], float],
    ) -> None:
        self.settings = settings
        self._idle_s = idle_s
        self._read_settings = read_settings
        self.log = log
        self._random = random.Random()
        self._tasks: set[asyncio.Task] = set()
        self.stop_request = StopRequest.from_signals()
        self.server_zones: frozenset[str] = frozenset()
        self.view = View(log)
        budget_limits = _retry_budget_limits(settings)
        cold_limits = ColdLimits(settings.cold_rate_factor, settings.cold_rate_slack)
        own_address = RouterAddress(settings.address, settings.zone)
        self.pool = BackendPool(self.view, own_address, budget_limits, cold_limits, self._random)
        self.pool.load_policy.may_balance_shards = settings.may_balance_shards
        self.calls = PooledBackendCalls.create(settings.address)
        self._staleness = StalenessDetector(self.view, steady_clock)
        self.peers = Peers(settings, steady_clock, time.time, self._random, self._staleness)
        self.channel = PeerChannel.from_address(
            settings.address,
            settings.gossip_port + PEER_CHANNEL_PORT_OFFSET,
            self.peers.is_known,
        )
        suspects = CrashSuspects(
            self.peers.board, log, self._handle_quarantine, started_s=steady_clock()
        )
        self.pool.listen_replaced(suspects.record_replaced)
        self._reachability = Reachability(self.pool, self.calls, log, steady_clock, self._random)
        self._crash_check = CrashCheck(self.calls, suspects, self._reachability, steady_clock)
        call_runner = CallRunner(
            self.calls,
            codec,
            TypicalLatencies(),
            suspects,
            self._crash_check,
            self._reachability,
            steady_clock,
        )
        self._reachability.listen(self.peers.set_cut_off)
        self._server_reports = ServerReportExchange(
            self.pool,
            self.channel,
            own_address,
            self.peers.routers_for_callers,
            self.calls.accepts_connections,
            self._reachability,
            log,
            steady_clock,
            time.time,
        )
        self._forwarder = Forwarder.from_settings(settings, self.peers, steady_clock, self._random)
        handover = Handover(self._reachability, self._forwarder, self.pool, log, steady_clock)
        self._quota = SharedQuota.from_settings(settings, self.channel, log, steady_clock)
        self.service = RouterService(
            self.view,
            self.pool,
            call_runner,
            handover,
            codec,
            log,
            steady_clock,
            self._quota,
            uses_accounts=settings.uses_accounts,
        )
        guard = CallerGuard.from_settings(settings, codec, steady_clock, log)
        self.caller_server = CallerServer(self.service, codec, steady_clock, guard)
        self.pauses = PauseDetector(steady_clock)
        self.pauses.listen(self._handle_pause)
        self.view.add_listener(self._apply_view)
        self.relay = Relay(self.view)
        start_wait_s = FLEET_START_READ_DELAY_S if settings.is_first_start else RESTART_READ_DELAY_S
        role = ReaderRole(self.view, self.peers, start_wait_s, steady_clock)
        self._overload = OverloadDetector()
        self._host_load = HostLoad.from_settings(settings, self._host_use(), steady_clock())
        self._peer_follower = PeerFollower.create(
            self.view,
            self.peers,
            settings.control_port,
            steady_clock,
            self._random,
            settings.address,
        )
        self._followers = {
            topic: Follower(source, topic, self.view, steady_clock, self._random, role.should_read)
            for topic, source in sources.items()
        }

    @property
    def is_ready(self) -> bool:
        """Return whether this router is ready for callers' requests."""
        return (
            self.view.table is not None
            and bool(self.view.backends)
            and not self.caller_server.is_draining
        )

    def _may_serve_peers(self) -> bool:
        """Return whether this router serves requests that peers forward."""
        return (
            self.view.table is not None
            and not self._reachability.is_cut_off
            and not self.caller_server.is_closing
        )

    async def start(self) -> None:
        """Listen and start to follow the sources.

        :raises OSError: if an address cannot be opened, or is in use for too long
        """
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        for follower in self._followers.values():
            self.spawn(follower.run())
        self.spawn(self._poll_settings())
        self.spawn(self._peer_follower.run())
        self.spawn(self.pauses.run(self._observe_lag))
        self.spawn(self._run_housekeeping())
        self.spawn(self._reachability.run())
        forwarding = forwarding_routes(self.peers, self.caller_server, self._may_serve_peers)
        control = Application(
            [*relay_routes(self.relay), *forwarding], log_function=_discard_access_log
        )
        await self.listen(control.listen, self.settings.control_port)
        await self.listen(self.caller_server.listen, self.settings.caller_port)
        await self._open(self.channel.open, self.settings.gossip_port + PEER_CHANNEL_PORT_OFFSET)
        self.spawn(self._run_membership())  # peers name this router to callers from now on
        self.log.write(
            "started",
            name=self.settings.name,
            address=self.settings.address,
            zone=self.settings.zone,
            seeds=self.settings.seeds,
        )

    async def listen(self, listen: Callable[[int, str], object], port: int) -> None:
        """Have a server listen on a port of this router's address, as soon as it is free.

        :raises OSError: if it cannot be opened, or is in use for too long
        """

        async def open_address() -> None:
            listen(port, self.settings.address)

        await self._open(open_address, port)

    async def _open(self, open_address: Callable[[], Awaitable[None]], port: int) -> None:
        await open_when_free(open_address, f"{self.settings.address}:{port}", self.log)

    def reload(self) -> None:
        """Read the settings again and apply those that do not need a restart."""
        try:
            settings = self._read_settings()
        except Exception as error:
            self.log.write("settings refused", field="", reason=describe_error(error))
            return
        if isinstance(settings, Failure):
            self.log.write("settings refused", field=settings.field, reason=settings.reason)
            return
        if settings == self.settings:
            return
        need_restart = [
            name
            for name in RESTART_ONLY_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.log.write("settings reloaded", seeds=settings.seeds, need_restart=need_restart)
        self.settings = settings
        self.peers.set_seeds(settings.seeds)
        self.pool.set_budget_limits(_retry_budget_limits(settings))

    def spawn(self, work: Coroutine) -> None:
        """Run a background task, whose failure stops the process."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    async def stop(self) -> None:
        """Drain and close all connections before the platform sends SIGKILL."""
        started_s = steady_clock()
        deadline_s = started_s + self.settings.stop_timeout_s - CLOSE_RESERVE_S
        self.log.write("stopping", unanswered=self.caller_server.unanswered)
        self.caller_server.start_draining(deadline_s)
        self.peers.membership.announce_leaving()
        await asyncio.sleep(DRAIN_DELAY_S)
        self.caller_server.stop_listening()
        is_idle = await self.caller_server.wait_until_idle(deadline_s - steady_clock())
        self.caller_server.refuse_requests()
        unanswered = self.caller_server.unanswered
        await self.caller_server.end_requests()
        self.log.write("stopped", unanswered=unanswered, quiet=is_idle)
        self.peers.membership.announce_departure()
        await self.caller_server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._crash_check.close()
        self._server_reports.close()
        self.calls.close()
        self._peer_follower.close()
        self._forwarder.close()
        self.channel.close()
        self.log.flush()

    async def _run_membership(self) -> None:
        membership = self.peers.membership
        await self._open(membership.open, self.settings.gossip_port)
        await membership.run()

    async def _run_housekeeping(self) -> None:
        """Periodically expire state and update limits and metrics."""
        while True:
            now_s = steady_clock()
            self.view.expire(now_s)
            self._restart_stale(now_s)
            self._update_load(now_s)
            limit_share = self.peers.limit_share()
            self._quota.update(self.peers.quota_routers(limit_share), now_s)
            self._server_reports.update(now_s)
            self.pool.set_limit_share(
                limit_share,
                self.peers.known_hosts(),
                now_s,
                self.peers.limit_share(of_reaching=True),
            )
            ROUTERS.set(len(self.peers.accepting_routers()))
            STORE_ERA.set(max(era_of(self.view.watermark(topic)) for topic in Topic))
            for topic in Topic:
                VIEW_AGE.labels(topic.value).set(self.view.age_s(topic, now_s))
            self.log.flush()
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)

    def _update_load(self, now_s: float) -> None:
        """Select the routers for callers, and tell the peers of this host's utilisation."""
        self.peers.update_selection(now_s)
        if not self._host_load.is_due(now_s):
            return
        if self._host_load.record(self._host_use(), now_s) and self.peers.selects_hosts():
            self.log.write("host utilisation", utilisation=self._host_load.announced)
            self.peers.announce_utilisation(self._host_load.announced)

    def _host_use(self) -> HostUse:
        return HostUse(
            self._idle_s(),
            self.calls.transferred_bytes + self.caller_server.sent_bytes,
            self.calls.open_connections + self.caller_server.unanswered,
        )

    def _restart_stale(self, now_s: float) -> None:
        """Restart followers whose source or peer has missed changes that other peers have."""
        for topic in self._staleness.pop_stale(now_s):
            if self.view.is_source_reachable(topic):
                since_s = self._staleness.behind_since_s(topic, now_s)
                self.view.record_missed_changes(topic, since_s, now_s)
                self._followers[topic].restart()
            else:
                self._peer_follower.restart()

    async def _poll_settings(self) -> None:
        """Periodically apply settings that changed without a SIGHUP."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            self.reload()

    def _apply_view(self, now_s: float) -> None:
        self.server_zones = zones_with_servers(
            record
            for record in self.view.backends.values()
            if record.zone not in self.view.evacuated_zones
        )
        if self.view.table is not None:
            self.caller_server.set_limits(self.view.table.limits)
            self._quota.set_accounts(self.view.table.accounts or (), now_s)
            VERSION.set(self.view.version)

    def _observe_lag(self, lag_s: float) -> None:
        """Announce whether this process is overloaded, by the lag of its event loop.

        :param lag_s: lag in seconds
        """
        if self._overload.observe(lag_s):
            self.log.write("overload", overloaded=self._overload.overloaded, lag_s=round(lag_s, 3))
            self.peers.membership.table.update_local_member(overloaded=self._overload.overloaded)

    def _handle_quarantine(self, fingerprint: str) -> None:
        self.log.write("request quarantined", fingerprint=fingerprint)
        self.peers.announce_quarantine(fingerprint, steady_clock())

    def _handle_pause(self, now_s: float) -> None:
        self.log.write("process was paused", version=self.view.version)
        self.peers.membership.handle_pause(now_s)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        self.log.write("background task failed", error=describe_error(error))
        self.stop_request.trigger()
