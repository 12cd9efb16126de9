"""Base of the byte-stream daemons: runs a reducer with its sockets, store watch and timers."""

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
    DiscardQueued,
    Fault,
    LogChange,
    LogFlow,
    Measure,
    PostponeStoreRead,
    ScheduleTick,
    SendForward,
    SendPeer,
    Stopped,
)
from heatheryoke.core.events import (
    Event,
    ForwardArrived,
    PeerMessageArrived,
    PlatformUnavailable,
    StopRequested,
    StoreChanged,
    StoreRead,
    Tick,
)
from heatheryoke.core.flows import FlowKey, flow_tuple
from heatheryoke.core.messages import Forward, Pong
from heatheryoke.core.records import Position, StoreItem
from heatheryoke.core.store_node import StoreNode
from heatheryoke.daemons.datagrams import Datagram, DatagramSocket
from heatheryoke.daemons.http_server import HttpServer, Reply
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.settings_file import SettingsFile
from heatheryoke.daemons.store_watch import StoreWatch
from heatheryoke.daemons.stream_record import StreamRecord
from heatheryoke.daemons.stream_settings import StreamSettings
from heatheryoke.inventory.model import Address, Role
from heatheryoke.platform.items import UnreadableItemError
from heatheryoke.platform.packets import PacketCodec, Side, check_packet, packet_flow
from heatheryoke.platform.process import READY_PATH
from heatheryoke.platform.store import StoreClient
from heatheryoke.wire.fragments import (
    Reassembly,
    is_part,
    split_message,
)
from heatheryoke.wire.peers import PeerDatagram, open_datagram, seal_datagram

__all__ = ["StreamApplication"]

# Each tick wakes the process, which has a cost; registrations and expiry tolerate this delay.
STREAM_TICK_S = 0.1
METRICS_PATH = "/metrics"
RECEIVE_BUFFER_BYTES = 1024 * 1024
# Stands for a message of which parts are missing.
INCOMPLETE = PeerDatagram(0, Pong())


def steady_clock() -> float:
    """Return monotonic seconds that include the time when the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StreamApplication(ABC):
    """Base class of the byte-stream daemons: runs a reducer on the current event loop.

    Owns the reducer's sockets and its store watch from `start` to `close`. `packet_socket` receives
    packets from the side that the role serves, `peer_socket` messages from other processes.
    """

    role: Role
    side: Side

    def __init__(self, settings: StreamSettings, path: Path, log: JsonLog):
        self.settings = settings
        self.log = log
        self.clock = steady_clock
        self.file = SettingsFile(path, self.role, self.clock())
        self.record = StreamRecord(log)
        self.codec = PacketCodec()
        self.peer_address = Address(settings.ip, settings.peer_ports[0])
        self.node = self.make_node()
        self.peer_socket: DatagramSocket | None = None
        self.packet_socket: DatagramSocket | None = None
        self.server = HttpServer(
            {READY_PATH: self.on_ready, METRICS_PATH: self.on_metrics},
            lambda error: self.record.record_fault("HttpServer", error, rate_limited=True),
        )
        self.watch = StoreWatch(
            StoreClient(settings.store),
            Backoff(random.Random(f"{settings.name}{time.time_ns()}").random),
            self.on_items_read,
            self.on_items_changed,
            self.on_store_unavailable,
            self.on_unreadable,
            self.on_watch_fault,
            self.node.needs_frequent_reads,
            min(settings.leaving_within_s, settings.configuration_within_s),
        )
        self.watch_task: asyncio.Task[None] | None = None
        self.ticker: asyncio.TimerHandle | None = None
        self.reassembly = Reassembly()
        self.last_sent: tuple[Any, list[bytes]] = (None, [])
        self.early_tick: asyncio.TimerHandle | None = None
        self.stopped = asyncio.Event()
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            SendForward: self.send,
            SendPeer: self.send,
            AnswerCaller: self.answer_caller,
            CloseFlow: lambda effect: None,
            DiscardQueued: self.discard_queued,
            Count: self.record.count,
            Measure: self.record.measure,
            LogChange: self.record.log_change,
            LogFlow: self.record.log_flow,
            Fault: lambda effect: self.record.record_fault(*effect, rate_limited=True),
            PostponeStoreRead: lambda effect: self.watch.postpone_call(*effect),
            ScheduleTick: self.schedule_tick,
            Stopped: self.set_stopped,
        }

    @abstractmethod
    def make_node(self) -> StoreNode:
        """Return the reducer for this role."""

    @abstractmethod
    def packet_address(self) -> Address:
        """Return the address for packets from the side that this role serves."""

    @abstractmethod
    def packet_event(self, now: float, flow: FlowKey, packet: bytes) -> Event:
        """Return the event for a packet from that side."""

    @abstractmethod
    def apply_settings(self, settings: StreamSettings) -> None:
        """Apply reloaded settings to the reducer."""

    # Life cycle

    def open_port(self, bind: Address, receive: Callable[[list[Datagram]], None]) -> DatagramSocket:
        """Open a UDP socket that counts failed sends."""
        loop = asyncio.get_running_loop()
        return DatagramSocket(
            loop,
            bind,
            receive,
            on_failed=lambda: self.record.add("sends_failed"),
            buffer_bytes=RECEIVE_BUFFER_BYTES,
        )

    async def start(self) -> None:
        """Open the sockets and start the watch; raise `OSError` if an address cannot be bound."""
        self.packet_socket = self.open_port(self.packet_address(), self.on_packet_datagrams)
        self.peer_socket = self.open_port(self.peer_address, self.on_peer_datagrams)
        await self.server.start(self.settings.status)
        self.watch_task = asyncio.get_running_loop().create_task(self.watch.run())
        self.tick()
        self.log.write("start", role=self.role.value, settings=str(self.file.path))

    async def run(self) -> int:
        """Run until stopped by a signal; return the exit code."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        self.reload_if_changed()
        await self.stopped.wait()
        self.close()
        return 0

    def request_stop(self) -> None:
        """Start a graceful stop; `stopped` is set when it is complete."""
        self.step(StopRequested(self.clock()))

    def close(self) -> None:
        """Close all sockets and end all tasks immediately."""
        for timer in (self.ticker, self.early_tick):
            if timer is not None:
                timer.cancel()
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.server.close()
        for port in self.ports():
            port.close()
        self.log.write("stop", counters=self.record.counters)

    def ports(self) -> list[DatagramSocket]:
        """Return the open sockets."""
        return [port for port in (self.peer_socket, self.packet_socket) if port]

    def reload(self) -> None:
        """Read the settings file again; if it is invalid, log its problems and change nothing."""
        settings, problems = self.file.read()
        if settings is None:
            self.log.write("reload refused", problems=[str(row) for row in problems])
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.apply_settings(settings)
        self.settings = settings
        self.file.take()
        self.log.write("reload", changed=changed)

    def reload_if_changed(self) -> None:
        """Reload the settings if they differ from those in use, as after a signal during start."""
        if self.file.read()[0] != self.settings:
            self.reload()

    def check_settings(self) -> None:
        """Reload the settings if their file has changed; say once that it is refused."""
        if not self.file.has_changed(self.clock()):
            return
        if not self.file.is_unchanged() or self.file.read()[0] is not None:
            self.reload()

    # Events in

    def step(self, event: Event) -> None:
        """Reduce an event and execute its effects; an exception abandons this event only."""
        try:
            self.process(event)
        except Exception as error:
            self.record.record_fault(type(event).__name__, error, rate_limited=True)

    def process(self, event: Event) -> None:
        """Reduce an event and execute its effects; an exception abandons an effect only.

        An exception of the reducer is raised.
        """
        handlers = self.effect_handlers
        for effect in self.node.reduce(event):
            try:
                handlers[type(effect)](effect)
            except Exception as error:
                self.record.record_fault(type(effect).__name__, error, rate_limited=True)

    def tick(self) -> None:
        """Process a tick and schedule the next one."""
        self.ticker = asyncio.get_running_loop().call_later(STREAM_TICK_S, self.tick)
        self.step(Tick(self.clock()))
        try:
            self.check_settings()
        except Exception as error:
            self.record.record_fault("settings", error, rate_limited=True)

    def schedule_tick(self, effect: ScheduleTick) -> None:
        """Process one more tick after a delay, unless one is scheduled already."""
        if self.early_tick is None:
            loop = asyncio.get_running_loop()
            self.early_tick = loop.call_later(effect.delay_s, self.process_early_tick)

    def process_early_tick(self) -> None:
        """Process a tick between the regular ones."""
        self.early_tick = None
        self.step(Tick(self.clock()))

    def on_items_read(self, items: tuple[StoreItem, ...], position: Position) -> None:
        """Process a complete read of the store; raise what the reducer raises."""
        self.process(StoreRead(self.clock(), items, position))

    def on_items_changed(
        self, items: tuple[StoreItem, ...], after: Position, position: Position
    ) -> None:
        """Process changes of the store; raise what the reducer raises."""
        self.process(StoreChanged(self.clock(), items, after, position))

    def on_store_unavailable(self, reason: str) -> None:
        """Process a failed call of the store."""
        self.step(PlatformUnavailable(self.clock(), reason))

    def on_unreadable(self, problem: UnreadableItemError) -> None:
        """Count and log an item of the store that could not be read."""
        self.record.add("unreadable_items")
        self.log.write("unreadable item", rate_limited=True, reason=str(problem))

    def on_watch_fault(self, error: Exception) -> None:
        """Count and log an unexpected exception of the watch, which then reads all items again."""
        self.record.record_fault(
            "StoreWatch", error, rate_limited=True, after=str(self.watch.position)
        )

    def on_peer_datagrams(self, batch: list[Datagram]) -> None:
        """Process datagrams from other processes; count invalid ones."""
        now = self.clock()
        for data, sender in batch:
            datagram = self.open_message(data, sender)
            if datagram is INCOMPLETE:
                continue
            if datagram is None or sender[1] != self.peer_address.port:
                self.record.add("bad_peer_datagrams")
                continue
            is_forward = isinstance(datagram.message, Forward)
            event_type = ForwardArrived if is_forward else PeerMessageArrived
            self.step(event_type(now, sender, datagram.epoch, datagram.message))

    def open_message(self, data: bytes, sender: Address) -> PeerDatagram | None:
        """Return the message that a datagram carries or completes, None if it is malformed."""
        if not is_part(data):
            return open_datagram(data)
        try:
            message = self.reassembly.add(sender, data)
        except Exception:  # a part of any form costs none of the datagrams received with it
            return None
        return INCOMPLETE if message is None else open_datagram(message)

    def on_packet_datagrams(self, batch: list[Datagram]) -> None:
        """Process packets from the side that this role serves; count those it cannot have sent."""
        now, side = self.clock(), self.side
        for data, _ in batch:
            problem = check_packet(data, side)
            if problem is None:
                self.step(self.packet_event(now, packet_flow(data, side), data))
            else:
                self.record.add(f"bad_packets_{problem.value}")

    def on_ready(self) -> Reply:
        """Respond with 200 if this process accepts callers' packets, else 503."""
        return Reply(200 if self.node.is_ready() else 503)

    def on_metrics(self) -> Reply:
        """Respond with all metrics in the Prometheus text format."""
        from heatheryoke.daemons.stream_metrics import exposition

        return Reply(200, exposition(self.node, self.record), "text/plain; version=0.0.4")

    # Effects out

    def send(self, effect: SendForward | SendPeer) -> None:
        """Send a message to another process, in parts if it is long."""
        for datagram in self.datagrams_of(effect.message):
            self.peer_socket.send(datagram, effect.to)

    def datagrams_of(self, message: Any) -> list[bytes]:
        """Return the datagrams of a message; the last are kept, since it may go to many.

        A message that cannot be encoded has none, and is reported once for all receivers.
        """
        if message is not self.last_sent[0]:
            self.last_sent = (message, [])
            sealed = seal_datagram(self.node.epoch_of(message), message)
            self.last_sent = (message, split_message(sealed))
        return self.last_sent[1]

    def answer_caller(self, effect: AnswerCaller) -> None:
        """Send a packet to a flow's caller."""
        caller = flow_tuple(effect.flow).source.ip
        self.packet_socket.send(effect.payload, (caller, self.settings.callers.port))

    def discard_queued(self, effect: DiscardQueued) -> None:
        """Drop the datagrams queued in every socket."""
        for port in self.ports():
            self.record.add("dropped_after_pause", port.discard_queued())

    def set_stopped(self, effect: Stopped) -> None:
        """Set `stopped`, so that `run` returns."""
        self.stopped.set()
