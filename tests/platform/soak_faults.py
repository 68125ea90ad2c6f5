"""The faults that the soak injects into a fleet, and its callers' exchanges."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess

from standins.cuttable_link import Cut
from standins.faulty_proxy import MODES
from tests.platform.fleet import (
    FRONT_PORT,
    READY_PORT,
    START_TIMEOUT_S,
    ZONES,
    CallerConnection,
    wait_until,
)
from tests.platform.guarantees import RecordedExchange
from tests.platform.soak_fleet import SoakFleet
from tests.platform.statement_rules import Disturbance
from tests.platform.store_faults import (
    LateLeaving,
    restore_older_copy,
    silence_after_change,
    write_odd_record,
)

SERVER_RESTART_S = 0.5
MAX_CRASH_ATTEMPTS = 6
TURNING_CALLERS = 3
NAMED_LIMITS_PER_S = (0.0, 2.0, 8.0, 30.0)
SIGNALS_OF_A_SERIES = (signal.SIGHUP, signal.SIGTERM)


class FaultInjection:
    """Injects random faults, and records the callers' exchanges and what was disturbed."""

    def __init__(
        self,
        fleet: SoakFleet,
        seed: int,
        *,
        has_server_faults: bool = True,
        has_limits: bool = True,
        has_partitions: bool = True,
        has_turning: bool = True,
        has_store_faults: bool = True,
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._seed = seed
        self._has_server_faults = has_server_faults
        self._has_limits = has_limits
        self._has_partitions = has_partitions
        self._has_turning = has_turning
        self._has_store_faults = has_store_faults
        self._late_leaving = LateLeaving(fleet, self._random)
        self._exchanges: list[RecordedExchange] = []
        self._injected_faults: list[str] = []
        self._disturbances: list[Disturbance] = []
        self._stopped: set[subprocess.Popen] = set()
        self._unexpected_ends: list[str] = []
        self._early_hang_ups: set[subprocess.Popen] = set()
        self._known_red: list[str] = []
        self._turned = 0
        self._is_finished = False
        self._clock = asyncio.get_running_loop().time
        for server in fleet.servers:
            server.restart_delay_s = SERVER_RESTART_S

    async def exchange(
        self,
        connection: CallerConnection,
        router: int,
        request_id: str,
        route: str,
        name: str,
        data: bytes,
    ) -> int:
        """Send a request, record the exchange and return its status."""
        sent_s = self._clock()
        reply = await connection.send(data)
        self._exchanges.append(
            RecordedExchange.from_reply(
                request_id, f"/{route}/{name}", router, sent_s, self._clock(), reply
            )
        )
        return reply.status

    async def inject_fault(self) -> None:
        faults = (
            *(self._restart, self._kill, self._pause, self._hang_up, self._store, self._history),
            *(self._proxy, self._proxy, self._server, self._leave, self._configure, self._evacuate),
        )
        if self._has_server_faults:
            faults += (
                *(self._signal_series, self._say_leaving, self._say_leaving, self._want_pause),
                *(self._want_pause, self._crash_servers, self._crash_servers),
            )
        if self._has_limits:
            faults += (self._name_limit, self._name_limit, self._name_limit)
        if self._has_partitions:
            faults += (self._partition, self._partition)
        if self._has_turning:
            faults += (self._turn_harmful, self._turn_harmful)
        if self._has_store_faults:
            faults += (self._silence, self._silence, self._silence, self._odd_record)
            faults += (self._restore, self._restore)
        fault = self._random.choice(faults)
        length_s = self._random.uniform(0.3, 2.0)
        number = self._random.randrange(len(self._fleet.processes))
        self._injected_faults.append(f"{fault.__name__.strip('_')} {length_s:.1f}s router {number}")
        await fault(number, length_s)

    async def _restart(self, number: int, _length_s: float) -> None:
        await self._restart_after(number, signal.SIGTERM)

    async def _kill(self, number: int, _length_s: float) -> None:
        await self._restart_after(number, signal.SIGKILL)

    async def _restart_after(self, number: int, what: signal.Signals) -> None:
        """Stop a running router by a signal and start it again."""
        process = self._fleet.processes[number]
        if process.poll() is not None:
            return
        started_s = self._clock()
        self._stopped.add(process)
        self._fleet.signal(number, signal.SIGCONT)
        self._fleet.signal(number, what)
        await self._fleet.exited(number, START_TIMEOUT_S)
        if process is self._fleet.processes[number]:
            self._fleet.start_router(number)
            await self._ready_or_stopped(number)
        self._disturb(f"router {number}", started_s)

    async def _ready_or_stopped(self, number: int) -> None:
        """Wait until a router is ready, or is stopped by another fault."""
        process = self._fleet.processes[number]

        async def is_settled() -> bool:
            reply = await self._fleet.get(number, READY_PORT, "/v1/ready")
            return reply.status == 200 or process.poll() is not None

        await wait_until(is_settled, START_TIMEOUT_S)

    async def _signal_series(self, number: int, _length_s: float) -> None:
        """Send several signals in short succession before a router is stopped."""
        for _ in range(self._random.randint(2, 5)):
            process, what = self._fleet.processes[number], self._random.choice(SIGNALS_OF_A_SERIES)
            if process.poll() is None:
                if what is signal.SIGTERM:
                    self._stopped.add(process)
                    self._fleet.signal(number, what)
                else:
                    self._send_hang_up(number)
            await asyncio.sleep(self._random.uniform(0.0, 0.2))
        await self._restart_after(number, signal.SIGTERM)

    def _disturb(self, name: str, from_s: float) -> None:
        self._disturbances.append(Disturbance(name, from_s, self._clock()))

    async def _pause(self, number: int, length_s: float) -> None:
        started_s = self._clock()
        self._fleet.signal(number, signal.SIGSTOP)
        await asyncio.sleep(length_s)
        self._fleet.signal(number, signal.SIGCONT)
        self._disturb(f"router {number}", started_s)

    async def _hang_up(self, number: int, _length_s: float) -> None:
        self._send_hang_up(number)

    def _send_hang_up(self, number: int) -> None:
        process = self._fleet.processes[number]
        if process.poll() is not None:
            return
        if not self._fleet.handles_hang_up(number):
            self._early_hang_ups.add(process)
        self._fleet.signal(number, signal.SIGHUP)

    async def _store(self, number: int, length_s: float) -> None:
        store = self._fleet.store
        store.fault = self._random.choice(("busy", "reset", "silent"))
        everybody = self._random.random() < 0.5
        store.affected_callers = set() if everybody else {self._fleet.address(number)}
        await asyncio.sleep(length_s)
        store.fault = ""

    async def _history(self, _number: int, _length_s: float) -> None:
        await self._fleet.store.compact()

    async def _silence(self, _number: int, length_s: float) -> None:
        await silence_after_change(self._fleet, length_s)

    async def _restore(self, _number: int, length_s: float) -> None:
        await restore_older_copy(self._fleet, length_s)

    async def _odd_record(self, _number: int, _length_s: float) -> None:
        await write_odd_record(self._fleet, self._random)

    async def _proxy(self, _number: int, length_s: float) -> None:
        started_s = self._clock()
        at = self._random.randrange(len(self._fleet.proxies))
        proxy = self._fleet.proxies[at]
        proxy.mode = self._random.choice(MODES[1:])
        await asyncio.sleep(length_s)
        proxy.mode = ""
        proxy.reset_connections()
        self._disturb(f"server {self._fleet.servers[at].instance_id}", started_s)

    async def _server(self, _number: int, length_s: float) -> None:
        server = self._random.choice(self._fleet.servers)
        server.fault = self._random.choice(("lose", "error", "shed"))
        server.fault_interval_requests = self._random.choice((1, 2, 5))
        await asyncio.sleep(length_s)
        server.fault = ""

    async def _leave(self, _number: int, length_s: float) -> None:
        """Drain a backend server, remove its record and write it again with a new start time."""
        at = self._random.randrange(len(self._fleet.servers))
        server, proxy = self._fleet.servers[at], self._fleet.proxies[at]
        key = f"servers/{server.instance_id}"
        await self._fleet.store.put(key, self._fleet.store_value(server, proxy, "draining"))
        await asyncio.sleep(length_s)
        await self._fleet.store.delete(key)
        server.started_ms += 1
        await self._fleet.store.put(key, self._fleet.store_value(server, proxy))

    async def _say_leaving(self, _number: int, length_s: float) -> None:
        """Let a server say that it leaves, its record staying ready, until it ends or for long."""
        server = self._random.choice(self._fleet.servers)
        server.is_leaving = True
        if self._random.random() < 0.5:
            await asyncio.sleep(length_s)
            server.crash("")

    async def _want_pause(self, _number: int, length_s: float) -> None:
        """Let a server turn all requests away for a time that it names."""
        server = self._random.choice(self._fleet.servers)
        server.retry_after_s = round(self._random.uniform(0.6, 3.0), 2)
        await asyncio.sleep(length_s)
        server.retry_after_s = None

    async def _name_limit(self, _number: int, length_s: float) -> None:
        """Let a server name a limit, which changes once."""
        server = self._random.choice(self._fleet.servers)
        for _ in range(2):
            server.max_requests_per_s = self._random.choice(NAMED_LIMITS_PER_S)
            await asyncio.sleep(2 * length_s)
        server.max_requests_per_s = None

    async def _partition(self, number: int, length_s: float) -> None:
        """Cut a router off from all servers, sometimes beside another one."""
        how = self._random.choice(list(Cut))
        started_s = self._clock()
        await self._fleet.cut(number, how)
        await asyncio.sleep(2 * length_s)
        await self._fleet.heal(number)
        self._disturb(f"router {number}", started_s)

    async def _crash_servers(self, _number: int, length_s: float) -> None:
        """Repeat a request that ends each server that runs it."""
        route = self._random.choice(("one", "one", "all", "once"))
        name = f"crash{len(self._fleet.events.crash_targets)}"
        target = f"/{route}/{name}"
        self._fleet.events.crash_targets.add(target)
        for _ in range(MAX_CRASH_ATTEMPTS):
            router = self._random.randrange(len(self._fleet.processes))
            request_id, data = self._fleet.request(
                target, method="POST" if route == "once" else "GET", caller_timeout_ms=1500
            )
            connection = CallerConnection(self._fleet.address(router), FRONT_PORT)
            await self.exchange(connection, router, request_id, route, name, data)
            connection.close()
            await asyncio.sleep(self._random.uniform(0.0, length_s))

    async def _turn_harmful(self, _number: int, length_s: float) -> None:
        """Let a request that several callers repeat be answered for a while, then end servers."""
        route = self._random.choice(("one", "all"))
        self._turned += 1
        name = f"turned{self._turned}"
        rounds = self._random.randint(2, MAX_CRASH_ATTEMPTS)
        pauses_s = [self._random.uniform(0.0, length_s) for _ in range(2 * rounds)]

        async def repeat(first_router: int) -> None:
            for turn, pause_s in enumerate(pauses_s):
                if turn == rounds:
                    self._fleet.events.crash_targets.add(f"/{route}/{name}")
                router = (first_router + turn) % len(self._fleet.processes)
                request_id, data = self._fleet.request(f"/{route}/{name}", caller_timeout_ms=1500)
                connection = CallerConnection(self._fleet.address(router), FRONT_PORT)
                await self.exchange(connection, router, request_id, route, name, data)
                connection.close()
                await asyncio.sleep(pause_s)

        await asyncio.gather(*(repeat(number) for number in range(TURNING_CALLERS)))

    async def _configure(self, _number: int, _length_s: float) -> None:
        await self._fleet.configure()

    async def _evacuate(self, _number: int, length_s: float) -> None:
        zone = self._random.choice(ZONES)
        await self._fleet.store.put(f"op/evacuate/{zone}", {})
        await asyncio.sleep(length_s)
        await self._fleet.store.delete(f"op/evacuate/{zone}")

    def _check_end(self, number: int, process: subprocess.Popen) -> None:
        """Record the end of a router that was not stopped."""
        if process in self._stopped:
            return
        end = f"router {number}: ended by itself with code {process.returncode}"
        is_known = process in self._early_hang_ups and process.returncode == -signal.SIGHUP
        (self._known_red if is_known else self._unexpected_ends).append(end)

    async def clear_faults(self) -> None:
        """Clear all faults and start routers that do not run."""
        self._fleet.store.fault = ""
        for proxy in self._fleet.proxies:
            proxy.mode = ""
        for server in self._fleet.servers:
            server.retry_after_s = None
            server.max_requests_per_s = None
            if server.is_leaving:
                server.crash("")
        for number, process in list(self._fleet.processes.items()):
            if process.poll() is not None:
                self._check_end(number, process)
                self._fleet.start_router(number)
            await self._fleet.ready(number)
