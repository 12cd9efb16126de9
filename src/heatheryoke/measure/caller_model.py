"""Models of callers: some hold a feed and send writes, others fetch each sheet on a new flow."""

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from heatheryoke.core.flows import UDP, FlowKey, FlowTuple, flow_key
from heatheryoke.core.requests import RequestKind
from heatheryoke.inventory.model import Address, Service
from heatheryoke.measure.plain_codec import ANSWER, REFUSAL, REQUEST, PlainMessage
from heatheryoke.measure.scheduler import Scheduler

__all__ = ["CallerModel", "CallerTraits", "Outcome", "Tally"]

FIRST_TIMEOUT_S = 2.0
RETRANSMISSIONS = 4
MAXIMUM_ATTEMPTS = 4


class Outcome(Enum):
    """The outcome of a request, as its caller sees it."""

    SERVED = "served"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    SILENT = "silent"


class Tally:
    """The requests of all callers and their outcomes, by request class."""

    def __init__(self):
        self.request_counts: Counter[str] = Counter()
        self.outcomes: Counter[tuple[str, Outcome]] = Counter()
        self.served_at: list[tuple[float, str]] = []
        self.requests_at: list[tuple[float, str]] = []
        self.mixed = 0
        self.refused_ids: list[bytes] = []
        self.latencies_s: list[float] = []

    def served(self) -> int:
        """Return the number of requests served."""
        return sum(n for (_, outcome), n in self.outcomes.items() if outcome is Outcome.SERVED)


class CallerTraits(NamedTuple):
    """The behaviour of one caller; `interval_s` is the mean time between its requests."""

    service: Service
    feed_path: str = ""
    write_path: str = ""
    sheet_path: str = ""
    interval_s: float = 1.0


class PendingRequest:
    """A pending request of a caller."""

    __slots__ = ("attempts", "created_at", "flow", "message", "timeout_s", "transmissions")

    def __init__(self, message: PlainMessage, flow: FlowKey, now: float):
        self.message = message
        self.created_at = now
        self.flow = flow
        self.transmissions = 0
        self.timeout_s = FIRST_TIMEOUT_S
        self.attempts = 1


class CallerModel:
    """A caller; it retransmits unanswered requests, and retries later if an answer says so."""

    def __init__(
        self,
        number: int,
        traits: CallerTraits,
        scheduler: Scheduler,
        tally: Tally,
        send: Callable[[FlowKey, bytes], None],
        random,
    ):
        self.number = number
        self.traits = traits
        self.scheduler = scheduler
        self.tally = tally
        self.transmit = send
        self.random = random
        self.port = 1_024
        self.next_number = 0
        self.pending: dict[bytes, PendingRequest] = {}
        self.feed_token = b""
        self.feed_upstream = ""
        self.served_by = ""
        self.is_host_withdrawn: Callable[[str], bool] = lambda upstream: False
        self.last_answer_at = 0.0
        self.feed_breaks = 0
        self.feed_resets = 0
        self.rate = 1.0
        self.is_active = True

    @property
    def flow(self) -> FlowKey:
        """The flow of the caller's current socket."""
        ip = f"10.{self.number >> 16 & 255}.{self.number >> 8 & 255}.{self.number & 255}"
        return flow_key(FlowTuple(UDP, Address(ip, self.port), self.traits.service.address))

    # Requests

    def start(self) -> None:
        """Open the feed, if the caller has one, and schedule the first request."""
        if self.traits.feed_path:
            self.open_feed()
        self.schedule_request()

    def schedule_request(self) -> None:
        """Schedule the next request."""
        delay = self.random.expovariate(self.rate / self.traits.interval_s)
        self.scheduler.after(delay, self.send_scheduled)

    def send_scheduled(self) -> None:
        """Send a write or sheet request, and schedule the next one."""
        self.schedule_request()
        if not self.is_active:
            return
        if self.traits.write_path:
            self.request(RequestKind.WRITE, self.traits.write_path)
        else:
            self.port = self.port + 1 if self.port < 60_000 else 1_024
            self.request(RequestKind.READ, self.traits.sheet_path)

    def open_feed(self) -> None:
        """Request the feed."""
        self.feed_token = self.request(RequestKind.FEED, self.traits.feed_path)
        self.feed_upstream = ""
        self.last_answer_at = self.scheduler.now

    def request(self, kind: RequestKind, path: str) -> bytes:
        """Send a new request and return its token."""
        self.next_number += 1
        token = self.next_number.to_bytes(4, "big")
        identity = f"{self.number}-{self.next_number}".encode()
        message = PlainMessage(
            REQUEST,
            kind,
            self.next_number & 0xFFFF,
            path,
            token,
            identity if kind is RequestKind.WRITE else b"",
            f"{self.traits.service.name}|{identity.decode()}".encode(),
        )
        if kind is not RequestKind.FEED:
            self.tally.request_counts[path] += 1
            self.tally.requests_at.append((self.scheduler.now, path))
        self.pending[token] = PendingRequest(message, self.flow, self.scheduler.now)
        self.send(token)
        return token

    def send(self, token: bytes) -> None:
        """Send or retransmit a request; give up after the last retransmission."""
        request = self.pending.get(token)
        if request is None:
            return
        if request.transmissions > RETRANSMISSIONS:
            self.give_up(token, request)
            return
        message_id = request.message.message_id
        self.transmit(request.flow, request.message.encode())
        request.transmissions += 1
        timeout = request.timeout_s * (1 + self.random.random() / 2)
        request.timeout_s *= 2
        self.scheduler.after(timeout, lambda: self.retransmit(token, message_id))

    def retransmit(self, token: bytes, message_id: int) -> None:
        """Retransmit a request unless it has been answered or retried meanwhile."""
        request = self.pending.get(token)
        if request is not None and request.message.message_id == message_id:
            self.send(token)

    def give_up(self, token: bytes, request: PendingRequest) -> None:
        """Reopen a feed, retry a request that has an id, or count the request as silent."""
        if request.message.kind is RequestKind.FEED:
            del self.pending[token]
            self.break_feed()
            return
        if request.attempts < MAXIMUM_ATTEMPTS and request.message.request_id:
            self.retry(token, request)
            return
        self.end(token, request, Outcome.SILENT)

    def retry(self, token: bytes, request: PendingRequest) -> None:
        """Send the same request id as a new request from the current socket."""
        self.next_number += 1
        request.flow = self.flow
        request.attempts += 1
        request.transmissions = 0
        request.timeout_s = FIRST_TIMEOUT_S
        request.message = request.message._replace(message_id=self.next_number & 0xFFFF)
        self.send(token)

    def end(self, token: bytes, request: PendingRequest, outcome: Outcome) -> None:
        """Record the outcome of a request."""
        self.pending.pop(token, None)
        path = request.message.request_class
        self.tally.outcomes[path, outcome] += 1
        if outcome is Outcome.SERVED:
            self.tally.served_at.append((self.scheduler.now, path))
            self.tally.latencies_s.append(self.scheduler.now - request.created_at)

    # Answers

    def on_datagram(self, flow: FlowKey, data: bytes) -> None:
        """Handle a datagram that arrived at one of this caller's sockets."""
        message = PlainMessage.decode(data)
        if message.token == self.feed_token and message.kind is RequestKind.FEED:
            if flow == self.flow:
                self.on_feed_answer(message)
            return
        request = self.pending.get(message.token)
        if request is None or request.flow != flow:
            return
        if message.phase == ANSWER:
            if not message.text.startswith(request.message.text + b"|"):
                self.tally.mixed += 1
            self.end(message.token, request, Outcome.SERVED)
        else:
            self.on_refusal(message, request)

    def on_refusal(self, message: PlainMessage, request: PendingRequest) -> None:
        """Record a refusal; retry a request with an unknown outcome, up to `MAXIMUM_ATTEMPTS`."""
        refused = message.phase == REFUSAL
        if refused and request.message.request_id:
            self.tally.refused_ids.append(request.message.request_id)
        if refused or request.attempts >= MAXIMUM_ATTEMPTS:
            self.end(message.token, request, Outcome.REFUSED if refused else Outcome.UNKNOWN)
            return
        request.message = request.message._replace(message_id=0)
        self.scheduler.after(message.number, lambda: self.retry_if_pending(message.token, request))

    def retry_if_pending(self, token: bytes, request: PendingRequest) -> None:
        """Retry a request after the time given in its answer, if it is still pending."""
        if self.pending.get(token) is request:
            self.retry(token, request)

    def on_feed_answer(self, message: PlainMessage) -> None:
        """Handle a notification, or the end of the feed."""
        self.pending.pop(message.token, None)
        if message.phase != ANSWER:
            if self.feed_upstream:
                self.end_feed()
            self.feed_token = b""
            self.scheduler.after(message.number * self.random.random(), self.open_feed)
            return
        upstream = message.text.rpartition(b"|")[2].decode()
        self.feed_upstream = upstream
        self.last_answer_at = self.scheduler.now

    def end_feed(self) -> None:
        """Count an ended feed: a reset if its failure domain is withdrawn, otherwise broken."""
        if self.is_host_withdrawn(self.feed_upstream):
            self.feed_resets += 1
        else:
            self.feed_breaks += 1
        self.served_by = ""

    def record_delivery(self, flow: FlowKey, upstream: str) -> None:
        """Record the upstream that received a packet; a feed whose flow moves is broken."""
        if not self.traits.feed_path or flow != self.flow:
            return
        moved = self.served_by and self.served_by != upstream
        if moved and not self.is_host_withdrawn(self.served_by):
            self.feed_breaks += 1
        self.served_by = upstream

    def break_feed(self) -> None:
        """Count a broken feed and reopen it from a new socket."""
        self.feed_breaks += 1
        self.served_by = ""
        self.port += 1
        self.open_feed()

    def check_feed(self, silence_s: float) -> None:
        """Count the feed as broken if it has been silent for more than `silence_s`."""
        is_open = self.feed_token and self.feed_token not in self.pending
        if is_open and self.scheduler.now - self.last_answer_at > silence_s:
            self.break_feed()
