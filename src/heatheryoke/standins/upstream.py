"""A CoAP upstream: observable feeds, writes that must run at most once, and large sheets."""

import asyncio
import time
from collections import Counter
from typing import NamedTuple

import aiocoap
from aiocoap import resource
from aiocoap.numbers import codes

from heatheryoke.inventory.model import Address
from heatheryoke.wire.coap import DEADLINE_OPTION, read_uint_option

__all__ = ["Ledger", "Upstream", "UpstreamBehaviour"]

SHEET_BYTES = 3_000
TRANSPORTS = ["simplesocketserver"]


class UpstreamBehaviour(NamedTuple):
    """Behaviour of an upstream; it is overloaded by more than `cold_limit` requests while cold."""

    slots: int = 4
    service_s: float = 0.02
    notify_s: float = 0.5
    cold_limit: int = 1
    warm_requests: int = 20
    cold_factor: float = 3.0


class Ledger:
    """Counts the runs of each request id over all upstreams of a test."""

    def __init__(self):
        self.runs: Counter[str] = Counter()

    def doubled(self) -> list[str]:
        """Return the ids that ran more than once, in sorted order."""
        return sorted(identity for identity, count in self.runs.items() if count > 1)


class Upstream:
    """Simulates one upstream process, which is slower and easily overloaded while cold."""

    def __init__(self, name: str, ledger: Ledger, behaviour: UpstreamBehaviour):
        self.name = name
        self.ledger = ledger
        self.behaviour = behaviour
        self.running = 0
        self.served = 0
        self.busiest = 0
        self.cold_overloads = 0
        self.expired = 0
        self.context: aiocoap.Context | None = None
        self.feed = Feed(self)

    @property
    def is_cold(self) -> bool:
        """Whether it has served fewer than `warm_requests` requests."""
        return self.served < self.behaviour.warm_requests

    async def start(self, address: Address) -> None:
        """Start the CoAP server and the notifications."""
        site = resource.Site()
        for path in ("feed", "feeds"):
            site.add_resource([path], self.feed)
        for path in ("measurements", "holds"):
            site.add_resource([path], Write(self))
        for path in ("sheets", "programmes"):
            site.add_resource([path], Sheet(self))
        self.context = await aiocoap.Context.create_server_context(
            site, bind=tuple(address), transports=TRANSPORTS
        )
        self.feed.schedule_notification()

    async def close(self) -> None:
        """Stop the notifications and the CoAP server."""
        self.feed.cancel_notification()
        if self.context is not None:
            await self.context.shutdown()

    async def work(self, request: aiocoap.Message) -> bool:
        """Simulate the work of one request; return False if its deadline has passed."""
        deadline_ms = read_uint_option(request, DEADLINE_OPTION)
        if deadline_ms is not None and time.time() * 1000 > deadline_ms:
            self.expired += 1
            return False
        behaviour = self.behaviour
        self.running += 1
        self.busiest = max(self.busiest, self.running)
        if self.is_cold and self.running > behaviour.cold_limit:
            self.cold_overloads += 1
        factor = behaviour.cold_factor if self.is_cold else 1.0
        try:
            await asyncio.sleep(behaviour.service_s * factor)
        finally:
            self.running -= 1
        self.served += 1
        return True


class Feed(resource.ObservableResource):
    """Observable resource whose value is a counter."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream
        self.value = 0
        self.registrations = 0
        self.timer: asyncio.TimerHandle | None = None

    def schedule_notification(self) -> None:
        """Schedule the next notification."""
        delay = self.upstream.behaviour.notify_s
        self.timer = asyncio.get_running_loop().call_later(delay, self.notify)

    def notify(self) -> None:
        """Increase the value, notify observers and schedule the next notification."""
        self.value += 1
        self.updated_state()
        self.schedule_notification()

    def cancel_notification(self) -> None:
        """Cancel the next notification."""
        if self.timer is not None:
            self.timer.cancel()

    async def add_observation(self, request: aiocoap.Message, observation) -> None:
        """Register an observer, and count the registration."""
        self.registrations += 1
        await super().add_observation(request, observation)

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the upstream's name and the current value."""
        return aiocoap.Message(payload=f"{self.upstream.name}:{self.value}".encode())


class Write(resource.Resource):
    """Measurement or seat hold; each run of an id is recorded in the ledger."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream

    async def render_post(self, request: aiocoap.Message) -> aiocoap.Message:
        """Run the request, unless its deadline has passed."""
        if not await self.upstream.work(request):
            return aiocoap.Message(code=codes.SERVICE_UNAVAILABLE, payload=b"too late; not run")
        identity = next(
            (q.removeprefix("id=") for q in request.opt.uri_query if q.startswith("id=")), ""
        )
        if identity:
            self.upstream.ledger.runs[identity] += 1
        return aiocoap.Message(code=codes.CHANGED, payload=b"ran " + identity.encode())


class Sheet(resource.Resource):
    """Document large enough for block-wise transfer."""

    def __init__(self, upstream: Upstream):
        super().__init__()
        self.upstream = upstream

    async def render_get(self, request: aiocoap.Message) -> aiocoap.Message:
        """Return the sheet named by the query."""
        if not await self.upstream.work(request):
            return aiocoap.Message(code=codes.SERVICE_UNAVAILABLE, payload=b"too late; not run")
        line = ("/".join(request.opt.uri_query) + ";").encode()
        return aiocoap.Message(payload=(line * SHEET_BYTES)[:SHEET_BYTES])
