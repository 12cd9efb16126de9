"""A model of an upstream with slots, cold starts and feeds, and a record of its work."""

import random
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from heatheryoke.core.requests import RequestKind
from heatheryoke.inventory.model import Endpoint
from heatheryoke.measure.plain_codec import ANSWER, REFUSAL, PlainMessage
from heatheryoke.measure.scheduler import Scheduler

__all__ = ["Ledger", "UpstreamModel", "UpstreamTraits"]


class UpstreamTraits(NamedTuple):
    """The behaviour of upstreams.

    A cold upstream is slower, and fails when it has run more than `cold_limit` requests at once for
    `overload_tolerance_s`.
    """

    service_s: float = 0.1
    notify_s: float = 1.0
    cold_limit: int = 1
    warm_requests: int = 30
    cold_factor: float = 3.0
    restart_s: float = 2.0
    overload_tolerance_s: float = 1.0


class Ledger:
    """A record of the datagrams received and the requests run by all upstreams."""

    def __init__(self):
        self.runs: Counter[bytes] = Counter()
        self.work: Counter[str] = Counter()
        self.cold_overloads = 0
        self.misdelivered = 0
        self.over_slots = 0
        self.last_delivery: dict[str, float] = {}

    def doubled(self) -> int:
        """Return the number of request ids that were run more than once."""
        return sum(1 for count in self.runs.values() if count > 1)


Send = Callable[[int, bytes], bool]


class UpstreamModel:
    """An upstream; `send` sends a datagram to a local port, and returns False if it is closed."""

    def __init__(
        self,
        endpoint: Endpoint,
        scheduler: Scheduler,
        ledger: Ledger,
        traits: UpstreamTraits,
        seed: int,
    ):
        self.endpoint = endpoint
        self.scheduler = scheduler
        self.ledger = ledger
        self.traits = traits
        self.random = random.Random(seed)
        self.send: Send = lambda port, data: False
        self.running = 0
        self.waiting: deque[tuple[int, PlainMessage]] = deque()
        self.served = 0
        self.incarnation = 0
        self.is_up = True
        self.overloaded_since: float | None = None
        self.feeds: dict[tuple[int, bytes], PlainMessage] = {}
        self.notification_count = 0
        scheduler.after(self.random.random() * traits.notify_s, self.notify)

    @property
    def is_cold(self) -> bool:
        """Whether it has served fewer than `warm_requests` since it last became cold."""
        return self.served < self.traits.warm_requests

    @property
    def is_overloaded(self) -> bool:
        """Whether it is cold and runs more than `cold_limit` requests."""
        return self.is_cold and self.running > self.traits.cold_limit

    def fail_if_overloaded(self, incarnation: int, since: float) -> None:
        """Fail and restart if the overload that began at `since` has lasted until now."""
        if incarnation == self.incarnation and self.overloaded_since == since:
            self.ledger.cold_overloads += 1
            self.restart()

    def receive(self, port: int, data: bytes) -> None:
        """Handle a datagram from a local port of the agent."""
        message = PlainMessage.decode(data)
        self.ledger.last_delivery[self.endpoint.host] = self.scheduler.now
        if not message.text.startswith(self.endpoint.service.encode() + b"|"):
            self.ledger.misdelivered += 1
        if message.kind is RequestKind.CONTROL:
            return
        if message.number and self.scheduler.now > message.number:
            self.answer(port, message._replace(phase=REFUSAL))
            return
        if self.running < self.endpoint.slots:
            self.begin(port, message)
        else:
            self.ledger.over_slots += 1
            self.waiting.append((port, message))

    def begin(self, port: int, message: PlainMessage) -> None:
        """Start a request; a cold upstream that stays overloaded fails."""
        self.running += 1
        if self.is_overloaded and self.overloaded_since is None:
            since = self.overloaded_since = self.scheduler.now
            incarnation = self.incarnation
            self.scheduler.after(
                self.traits.overload_tolerance_s,
                lambda: self.fail_if_overloaded(incarnation, since),
            )
        if message.request_id:
            self.ledger.runs[message.request_id] += 1
        factor = self.traits.cold_factor if self.is_cold else 1.0
        duration_s = self.random.expovariate(1 / (self.traits.service_s * factor))
        incarnation = self.incarnation
        self.scheduler.after(duration_s, lambda: self.finish(port, message, incarnation))

    def finish(self, port: int, message: PlainMessage, incarnation: int) -> None:
        """Answer a request, and start the next one that waits."""
        if incarnation != self.incarnation or not self.is_up:
            return
        self.running -= 1
        self.served += 1
        if not self.is_overloaded:
            self.overloaded_since = None
        self.ledger.work[self.endpoint.host] += 1
        if message.kind is RequestKind.FEED:
            self.feeds[port, message.token] = message
        elif message.kind is RequestKind.CANCEL:
            self.feeds.pop((port, message.token), None)
        self.answer(port, message._replace(phase=ANSWER, feed=message.kind is RequestKind.FEED))
        if self.waiting and self.running < self.endpoint.slots:
            self.begin(*self.waiting.popleft())

    def answer(self, port: int, message: PlainMessage) -> None:
        """Send an answer with the request's text and the host's name."""
        text = message.text + b"|" + self.endpoint.host.encode()
        self.send(port, message._replace(text=text).encode())

    def notify(self) -> None:
        """Send a notification on every feed; remove the feeds whose port is closed."""
        self.scheduler.after(self.traits.notify_s, self.notify)
        if not self.is_up:
            return
        self.notification_count += 1
        for (port, token), message in list(self.feeds.items()):
            text = message.text + b"|" + self.endpoint.host.encode()
            notification = message._replace(
                phase=ANSWER, feed=True, text=text, message_id=self.notification_count & 0xFFFF
            )
            if not self.send(port, notification.encode()):
                del self.feeds[port, token]

    def restart(self) -> None:
        """Restart cold, without any requests and feeds."""
        self.incarnation += 1
        self.is_up = False
        self.overloaded_since = None
        self.running = 0
        self.served = 0
        self.waiting.clear()
        self.feeds.clear()
        self.scheduler.after(self.traits.restart_s, self.come_up)

    def come_up(self) -> None:
        """Accept datagrams again."""
        self.is_up = True

    def become_cold(self) -> None:
        """Become cold without a restart, so that only slower answers show it."""
        self.served = 0
