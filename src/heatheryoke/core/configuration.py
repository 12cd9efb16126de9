"""The configuration in force, fetched from peers or the platform; its version never decreases."""

from returns.result import Failure, Result, Success

from heatheryoke.core.effects import Count, Effect, FetchConfiguration, SendPeer
from heatheryoke.core.messages import ConfigurationPart, ConfigurationRequest
from heatheryoke.core.topology import Topology
from heatheryoke.inventory.changes import (
    ChangeMismatch,
    apply_change,
    decode_change,
    encode_change,
    make_change,
)
from heatheryoke.inventory.checks import Problem, check_document
from heatheryoke.inventory.document import (
    UnreadableDocument,
    decode_document,
    encode_document,
)
from heatheryoke.inventory.model import Address, Document

__all__ = ["EPOCH_CLAIM_S", "POLL_S", "Configuration", "InvalidDocument"]
__all__ += ["is_platform_watcher"]

REQUEST_RETRY_S = 0.3
POLL_S = 60.0
PART_BYTES = 1_100
PLATFORM_WATCHERS_PER_DOMAIN = 2
MAXIMUM_PARTS = 1_000
# Time after which a peer's epoch that is neither repeated nor supplied no longer counts as known:
# five heartbeats (1 s), in which a running peer would have repeated it.
EPOCH_CLAIM_S = 5.0


class InvalidDocument(tuple[Problem, ...]):
    """The problems for which a document was refused."""


DocumentError = ChangeMismatch | UnreadableDocument | InvalidDocument


def is_platform_watcher(topology: Topology | None, host_name: str, suspected: set[str]) -> bool:
    """Return whether a host is one of the few in its failure domain that watch the platform."""
    segment = topology.segment_of(host_name) if topology else None
    if segment is None:
        return True
    domain = topology.hosts[host_name].failure_domain
    watchers: list[str] = []
    for host in segment.hosts:
        if host.failure_domain == domain and host.name not in suspected:
            watchers.append(host.name)
            if len(watchers) == PLATFORM_WATCHERS_PER_DOMAIN:
                break
    return host_name in watchers


class Configuration:
    """Holds the highest version accepted, and exchanges it with peers in parts."""

    def __init__(self):
        self.topology: Topology | None = None
        self.change_from_previous: tuple[int, bytes] | None = None
        self.encoded: bytes = b""
        self.parts: dict[int, bytes] = {}
        self.parts_key: tuple[int, int, int] = (0, 0, 0)
        self.requested_at = float("-inf")
        self.newest_known_epoch = 0
        self.newest_known_at = float("-inf")
        self.refused_epoch = 0
        self.needs_whole_document = False

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self.topology.version if self.topology else 0

    def accept(self, document: Document) -> bool:
        """Bring a checked document into force if it is newer; return whether it was."""
        if document.version <= self.version:
            return False
        if self.topology is not None:
            change = make_change(self.topology.document, document)
            self.change_from_previous = (change.base, encode_change(change))
        self.topology = Topology(document)
        self.needs_whole_document = False
        self.encoded = b""
        self.parts.clear()
        return True

    def request_from(self, peer: Address, epoch: int, now: float) -> list[Effect]:
        """Request a newer epoch from a peer, unless a request was sent just before."""
        if epoch <= self.version:
            return []
        if epoch >= self.newest_known_epoch or not self.is_behind(now):
            self.newest_known_epoch = epoch
            self.newest_known_at = now
        if now - self.requested_at < REQUEST_RETRY_S:
            return []
        self.requested_at = now
        have = 0 if self.needs_whole_document else self.version
        return [SendPeer(peer, ConfigurationRequest(have)), Count("configuration_requests")]

    def is_behind(self, now: float) -> bool:
        """Return whether a newer epoch than the one in force, not yet refused, is known.

        It is forgotten `EPOCH_CLAIM_S` after a peer last showed it, so that one that no running
        peer can supply does not mute this process for good.
        """
        if now - self.newest_known_at > EPOCH_CLAIM_S:
            return False
        return self.newest_known_epoch > max(self.version, self.refused_epoch)

    def answer(self, peer: Address, request: ConfigurationRequest) -> list[Effect]:
        """Send a peer the last change if it has the version before it, else the whole document."""
        if self.topology is None or request.have >= self.version:
            return []
        base = 0
        if self.change_from_previous and self.change_from_previous[0] == request.have:
            base, data = self.change_from_previous
        else:
            self.encoded = self.encoded or encode_document(self.topology.document)
            data = self.encoded
        chunks = [data[start : start + PART_BYTES] for start in range(0, len(data), PART_BYTES)]
        return [
            SendPeer(peer, ConfigurationPart(self.version, base, index, len(chunks), chunk))
            for index, chunk in enumerate(chunks)
        ]

    def collect(self, part: ConfigurationPart) -> Result[Document, DocumentError] | None:
        """Add a part; return the document once all parts have arrived, None before."""
        if part.version <= self.version or not 0 <= part.part < part.parts <= MAXIMUM_PARTS:
            return None
        key = (part.version, part.base, part.parts)
        if key != self.parts_key:
            self.parts_key = key
            self.parts.clear()
        self.parts[part.part] = part.data
        if len(self.parts) < part.parts:
            return None
        data = b"".join(self.parts[index] for index in range(part.parts))
        self.parts.clear()
        return self.read(part.base, data).bind(_check)

    def read(self, base: int, data: bytes) -> Result[Document, DocumentError]:
        """Decode a whole document, or a change from the one in force."""
        if base == 0 or self.topology is None:
            return decode_document(data)
        held = self.topology.document
        return decode_change(data).bind(lambda change: apply_change(held, change))

    def fetch_after_refusal(self, version: int) -> list[Effect]:
        """Fetch from the platform, and let the next peer with a newer epoch be asked at once.

        The peer is asked for its whole document, since a change that was refused once would be
        refused again.
        """
        self.requested_at = float("-inf")
        self.needs_whole_document = True
        self.refused_epoch = max(self.refused_epoch, version)
        return [Count("configurations_refused"), FetchConfiguration()]


def _check(document: Document) -> Result[Document, DocumentError]:
    problems = check_document(document)
    return Failure(InvalidDocument(problems)) if problems else Success(document)
