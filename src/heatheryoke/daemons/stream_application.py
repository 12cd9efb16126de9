"""The application around a reducer of byte streams: sockets, the store and timers on one loop."""

import asyncio
import random
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from pathlib import Path
from typing import Any

from heatheryoke.core.backoff import Backoff
from heatheryoke.core.effects import (
    AnswerCaller,
    CloseFlow,
    Count,
    Deliver,
    DiscardQueued,
    LogChange,
    LogFlow,
    Measure,
    SendForward,
    SendPeer,
    Stopped,
    StoreNewsTaken,
)
from heatheryoke.core.events import (
    CallerPacket,
    Event,
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    StopRequested,
    StoreChanged,
    StoreRead,
    Tick,
    UpstreamPacket,
)
from heatheryoke.core.flows import FlowKey, PacketKind, describe_flow, flow_tuple
from heatheryoke.core.histograms import WAIT_BUCKETS_S, Histogram
from heatheryoke.core.messages import Forward
from heatheryoke.core.records import StoreItem
from heatheryoke.core.store_node import StoreNode
from heatheryoke.core.stream_agent import StreamAgent
from heatheryoke.core.stream_balancer import StreamBalancer
from heatheryoke.daemons.datagrams import Datagram, DatagramPort
from heatheryoke.daemons.http_server import HttpServer, Reply
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.store_watch import StoreWatch
from heatheryoke.daemons.stream_settings import StreamSettings, read_stream_settings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.items import UnreadableItemError
from heatheryoke.platform.packets import PacketCodec, Side, check_packet, packet_flow
from heatheryoke.platform.process import READY_PATH
from heatheryoke.platform.store import StoreClient
from heatheryoke.wire.peers import open_datagram, seal_datagram

__all__ = ["STREAM_APPLICATIONS", "StreamApplication", "run_role"]

# Each tick wakes the process, which is priced; registrations and expiry can wait so long.
STREAM_TICK_S = 0.1
# How often the settings file is looked at, which may change without a signal.
SETTINGS_CHECK_S = 1.0
# The pause before a watch that a defect has ended is begun anew.
WATCH_RESTART_S = 1.0
METRICS_PATH = "/metrics"
RECEIVE_BUFFER_BYTES = 1024 * 1024
# Histograms kept at once, each of a name, service and route; routes without requests have none.
MAXIMUM_HISTOGRAMS = 600
QUEUE_BUCKETS = (0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0)


def steady_clock() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StreamApplication(ABC):
    """Owns a reducer's sockets and its watch of the store from `start` to `close`."""

    role: Role

    def __init__(self, settings: StreamSettings, path: Path, log: JsonLog):
        self.settings = settings
        self.path = path
        self.log = log
        self.clock = steady_clock
        self.counters: dict[str, int] = {}
        self.histograms: dict[tuple[str, str, str], Histogram] = {}
        self.codec = PacketCodec()
        self.peer_address = Address(settings.ip, settings.peer_ports[0])
        self.node = self.make_node()
        self.peers: DatagramPort | None = None
        self.server = HttpServer({READY_PATH: self.on_ready, METRICS_PATH: self.on_metrics})
        self.watch = StoreWatch(
            StoreClient(settings.store),
            Backoff(random.Random(f"{settings.name}{time.time_ns()}").random),
            self.on_items_read,
            self.on_items_changed,
            self.on_store_unavailable,
            self.on_unreadable,
            self.node.is_hurried,
            min(settings.leaving_within_s, settings.configuration_within_s),
        )
        self.watching: asyncio.Task[None] | None = None
        self.ticker: asyncio.TimerHandle | None = None
        self.stopped = asyncio.Event()
        self.settings_stamp = self.stamp_settings()
        self.next_settings_check = self.clock() + SETTINGS_CHECK_S
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            SendForward: self.send,
            SendPeer: self.send,
            AnswerCaller: self.answer_caller,
            CloseFlow: lambda effect: None,
            DiscardQueued: self.discard_queued,
            Count: self.count,
            Measure: self.measure,
            LogChange: self.log_change,
            LogFlow: self.log_flow,
            StoreNewsTaken: lambda effect: self.watch.note_news(*effect),
            Stopped: self.note_stopped,
        }

    @abstractmethod
    def make_node(self) -> StoreNode:
        """Return the reducer of this role."""

    @abstractmethod
    def ports(self) -> list[DatagramPort]:
        """Return the sockets that are open."""

    @abstractmethod
    def answer_caller(self, effect: AnswerCaller) -> None:
        """Send a packet to a flow's caller."""

    # Life cycle

    def open_port(self, bind: Address, receive: Callable[[list[Datagram]], None]) -> DatagramPort:
        """Open a socket."""
        loop = asyncio.get_running_loop()
        return DatagramPort(loop, bind, receive, buffer_bytes=RECEIVE_BUFFER_BYTES)

    async def start(self) -> None:
        """Open everything; an `OSError` tells that an address is taken."""
        self.peers = self.open_port(self.peer_address, self.on_peer_datagrams)
        await self.server.start(self.settings.status)
        self.start_watch()
        self.tick()
        self.log.write("start", role=self.role.value, settings=str(self.path))

    def start_watch(self) -> None:
        """Begin to watch the store."""
        self.watching = asyncio.get_running_loop().create_task(self.watch.run())
        self.watching.add_done_callback(self.on_watch_ended)

    def on_watch_ended(self, task: asyncio.Task[None]) -> None:
        """Begin anew after a defect ended the watch; the view in force stays meanwhile."""
        if task.cancelled():
            return
        self.add("faults")
        self.log.write("fault", kind="StoreWatch", error=repr(task.exception()))
        asyncio.get_running_loop().call_later(WATCH_RESTART_S, self.start_watch)

    async def run(self) -> int:
        """Run until stopped by a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.stopped.wait()
        self.close()
        return 0

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self.step(StopRequested(self.clock()))

    def close(self) -> None:
        """Close everything at once."""
        if self.ticker is not None:
            self.ticker.cancel()
        if self.watching is not None:
            self.watching.cancel()
        self.server.close()
        for port in self.ports():
            port.close()
        self.log.write("stop", counters=self.counters)

    def reload(self) -> None:
        """Read the settings file again; unusable settings change nothing."""
        settings, problems = read_stream_settings(self.path, self.role)
        if settings is None:
            self.log.write("reload refused", problems=[str(row) for row in problems])
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        self.log.write("reload", changed=changed)
        self.use_settings(settings)

    @abstractmethod
    def use_settings(self, settings: StreamSettings) -> None:
        """Tell the reducer what the settings say now."""

    def stamp_settings(self) -> int | None:
        """Return when the settings file was last written, None if it cannot be told."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            return None

    def check_settings(self) -> None:
        """Read the settings again if their file has changed."""
        if self.clock() < self.next_settings_check:
            return
        self.next_settings_check = self.clock() + SETTINGS_CHECK_S
        stamp = self.stamp_settings()
        if stamp is not None and stamp != self.settings_stamp:
            self.settings_stamp = stamp
            self.reload()

    # Events in

    def step(self, event: Event) -> None:
        """Reduce an event and carry out its effects; a fault ends its event, not the process."""
        handlers = self.effect_handlers
        try:
            for effect in self.node.reduce(event):
                handlers[type(effect)](effect)
        except Exception as error:
            self.add("faults")
            self.log.write("fault", bounded=True, kind=type(event).__name__, error=repr(error))

    def tick(self) -> None:
        """Send a tick and plan the next."""
        self.ticker = asyncio.get_running_loop().call_later(STREAM_TICK_S, self.tick)
        self.step(Tick(self.clock()))
        self.check_settings()

    def on_items_read(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Take a whole reading of the store."""
        self.step(StoreRead(self.clock(), items, revision))

    def on_items_changed(self, items: tuple[StoreItem, ...], after: int, revision: int) -> None:
        """Take changes of the store."""
        self.step(StoreChanged(self.clock(), items, after, revision))

    def on_store_unavailable(self, reason: str) -> None:
        """Note a failed call."""
        self.step(PlatformUnavailable(self.clock(), reason))

    def on_unreadable(self, problem: UnreadableItemError) -> None:
        """Log an item of the store that could not be read."""
        self.add("unreadable_items")
        self.log.write("unreadable item", bounded=True, reason=str(problem))

    def on_peer_datagrams(self, batch: list[Datagram]) -> None:
        """Take datagrams from other processes."""
        now = self.clock()
        for data, sender in batch:
            datagram = open_datagram(data)
            if datagram is None or sender[1] != self.peer_address.port:
                self.add("bad_peer_datagrams")
                continue
            is_forward = isinstance(datagram.message, Forward)
            arrived = ForwardArrived if is_forward else PeerMessageArrived
            self.step(arrived(now, sender, datagram.epoch, datagram.message))

    def checked(self, batch: list[Datagram], side: Side) -> list[tuple[FlowKey, bytes]]:
        """Return the packets that `side` can have sent, with their flows; count the others."""
        found: list[tuple[FlowKey, bytes]] = []
        for data, _ in batch:
            problem = check_packet(data, side)
            if problem is None:
                found.append((packet_flow(data, side), data))
            else:
                self.add(f"bad_packets_{problem.value}")
        return found

    def on_ready(self) -> Reply:
        """Tell whether callers' packets should come here."""
        return Reply(200 if self.node.is_ready() else 503)

    def on_metrics(self) -> Reply:
        """Return the metrics as text."""
        from heatheryoke.daemons.stream_metrics import exposition

        return Reply(
            200, exposition(self.node, self.counters, self.histograms), "text/plain; version=0.0.4"
        )

    # Effects out

    def send(self, effect: SendForward | SendPeer) -> None:
        """Send a message to another process."""
        self.peers.send(seal_datagram(self.node.epoch, effect.message), effect.to)

    def discard_queued(self, effect: DiscardQueued) -> None:
        """Empty every socket's queue."""
        for port in self.ports():
            self.add("dropped_after_pause", port.discard_queued())

    def count(self, effect: Count) -> None:
        """Add to a counter."""
        self.add(effect.name, effect.amount)

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter by name."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def measure(self, effect: Measure) -> None:
        """Add a value to the histogram of a service and route."""
        key = effect[:3]
        found = self.histograms.get(key)
        if found is None:
            if len(self.histograms) >= MAXIMUM_HISTOGRAMS:
                self.add("histograms_left_out")
                return
            buckets = QUEUE_BUCKETS if effect.name == "queue_at_arrival" else WAIT_BUCKETS_S
            found = self.histograms[key] = Histogram(buckets)
        found.add(effect.value)

    def log_change(self, effect: LogChange) -> None:
        """Log a change of what the process believes."""
        self.log.write("change", subject=effect.subject, state=effect.state, reason=effect.reason)

    def log_flow(self, effect: LogFlow) -> None:
        """Log a decision on a flow."""
        flow = describe_flow(effect.flow)
        self.log.write(effect.decision, bounded=True, flow=flow, **dict(effect.facts))

    def note_stopped(self, effect: Stopped) -> None:
        """Let `run` end."""
        self.stopped.set()


class StreamBalancerApplication(StreamApplication):
    """A balancer's process."""

    role = Role.BALANCER
    callers: DatagramPort | None = None

    def make_node(self) -> StreamBalancer:
        """Return a balancer's reducer."""
        return StreamBalancer(
            self.settings.name,
            time.time_ns(),
            self.codec,
            address=self.peer_address,
            peer_port=self.peer_address.port,
        )

    def ports(self) -> list[DatagramPort]:
        """Return the sockets that are open."""
        return [port for port in (self.peers, self.callers) if port]

    async def start(self) -> None:
        """Open the callers' socket too."""
        self.callers = self.open_port(self.settings.callers, self.on_caller_datagrams)
        await super().start()

    def on_caller_datagrams(self, batch: list[Datagram]) -> None:
        """Take callers' packets."""
        now = self.clock()
        for flow, packet in self.checked(batch, Side.CALLER):
            self.step(CallerPacket(now, flow, PacketKind.EITHER, packet))

    def use_settings(self, settings: StreamSettings) -> None:
        """Do nothing: no setting of a balancer may change while it runs."""

    def answer_caller(self, effect: AnswerCaller) -> None:
        """Send a packet to a flow's caller."""
        caller = flow_tuple(effect.flow).source.ip
        self.callers.send(effect.payload, (caller, self.settings.callers.port))


class StreamAgentApplication(StreamApplication):
    """An agent's process."""

    role = Role.AGENT
    answers: DatagramPort | None = None

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        self.effect_handlers[Deliver] = self.deliver

    def make_node(self) -> StreamAgent:
        """Return an agent's reducer."""
        settings = self.settings
        return StreamAgent(
            settings.ip,
            time.time_ns(),
            self.clock(),
            self.codec,
            settings.service,
            settings.upstream,
            first_start=settings.first_start,
            flow_lifetime_s=settings.flow_lifetime_s,
            peer_port=self.peer_address.port,
        )

    def ports(self) -> list[DatagramPort]:
        """Return the sockets that are open."""
        return [port for port in (self.peers, self.answers) if port]

    async def start(self) -> None:
        """Open the upstream's socket too."""
        self.answers = self.open_port(self.settings.answers, self.on_upstream_datagrams)
        await super().start()

    def on_upstream_datagrams(self, batch: list[Datagram]) -> None:
        """Take the upstream's packets, and those that it returns."""
        now = self.clock()
        for flow, packet in self.checked(batch, Side.UPSTREAM):
            self.step(UpstreamPacket(now, flow, packet))

    def deliver(self, effect: Deliver) -> None:
        """Hand a packet to the upstream."""
        self.answers.send(effect.payload, self.settings.upstream)

    def answer_caller(self, effect: AnswerCaller) -> None:
        """Send a packet to a flow's caller."""
        caller = flow_tuple(effect.flow).source.ip
        self.answers.send(effect.payload, (caller, self.settings.callers.port))

    def use_settings(self, settings: StreamSettings) -> None:
        """Tell the reducer which service its upstream is of."""
        self.node.service = settings.service
        self.node.upstream = settings.upstream


STREAM_APPLICATIONS: dict[Role, type[StreamApplication]] = {
    Role.BALANCER: StreamBalancerApplication,
    Role.AGENT: StreamAgentApplication,
}


def run_role(role: Role, path: Path) -> int | None:
    """Run a role until it is stopped; return the exit code, None if its settings are unusable."""
    settings, problems = read_stream_settings(path, role)
    log = JsonLog(settings.name if settings else role.value)
    if settings is None:
        log.write("settings refused", problems=[str(problem) for problem in problems])
        return None
    return asyncio.run(_run(STREAM_APPLICATIONS[role], settings, path, log))


async def _run(
    kind: type[StreamApplication], settings: StreamSettings, path: Path, log: JsonLog
) -> int:
    return await kind(settings, path, log).run()
