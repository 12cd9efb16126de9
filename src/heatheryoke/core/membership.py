"""Failure detection: each process has three watchers, and accusations spread along the ring."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from heatheryoke.core.effects import Count, Effect, LogChange, SendPeer
from heatheryoke.core.messages import Accusation, Accusations, EpochNotice, Heartbeat
from heatheryoke.core.topology import Segment, Topology
from heatheryoke.inventory.model import Address, Host

__all__ = ["HEARTBEAT_S", "SILENCE_TIMEOUT_S", "Membership", "relay_targets", "watch_offsets"]

HEARTBEAT_S = 1.0
SILENCE_TIMEOUT_S = 3.5
WATCHER_COUNT = 3
FAN_OUT = 8
ACCUSATIONS_PER_MESSAGE = 12


def watch_offsets(ring_size: int) -> list[int]:
    """Return the ring distances between a process and its watchers."""
    if ring_size <= 1:
        return []
    cube_root = max(1, round(ring_size ** (1 / 3)))
    wide = [1, 1 + cube_root, 1 + cube_root + cube_root * cube_root]
    near = range(1, ring_size)
    usable = [offset % ring_size for offset in (*wide, *near) if offset % ring_size]
    return list(dict.fromkeys(usable))[:WATCHER_COUNT]


class RelayTarget(NamedTuple):
    """A host to relay a message to, and the number of ring positions after it that it covers."""

    host: Host
    span: int


def relay_targets(
    ring: list[Host], start: int, span: int, skip: Iterable[str] = ()
) -> list[RelayTarget]:
    """Split the `span` positions after `start` among up to `FAN_OUT` live hosts."""
    skipped = set(skip)
    share, extra = divmod(span, FAN_OUT)
    targets: list[RelayTarget] = []
    position = start + 1
    for index in range(FAN_OUT):
        width = share + (1 if index < extra else 0)
        end = position + width
        for candidate in range(position, end):
            host = ring[candidate % len(ring)]
            if host.name not in skipped:
                targets.append(RelayTarget(host, end - candidate - 1))
                break
        position = end
    return targets


class Membership:
    """Heartbeats to this process's watchers, and the accusations known to it."""

    def __init__(self, host_name: str, incarnation: int):
        self.host_name = host_name
        self.incarnation = incarnation
        self.topology: Topology | None = None
        self.last_heartbeat: dict[str, float] = {}
        self.accusations: dict[tuple[str, str], Accusation] = {}
        self.suspected_since: dict[str, float] = {}
        self.next_heartbeat = 0.0
        self.digest = 0

    def use(self, topology: Topology, now: float) -> None:
        """Use a new topology and forget hosts that are not in it."""
        self.topology = topology
        known = topology.hosts
        self.accusations = {
            key: accusation
            for key, accusation in self.accusations.items()
            if accusation.host in known and accusation.accuser in known
        }
        self.last_heartbeat = {
            host.name: self.last_heartbeat.get(host.name, now) for host in self.watched()
        }
        self.update_suspicions(now)

    def segment(self) -> Segment | None:
        """Return this process's segment, None if its host is not in the topology."""
        return self.topology.segment_of(self.host_name) if self.topology else None

    def neighbours(self, direction: int) -> list[Host]:
        """Return the hosts at the watch offsets before (-1) or after (+1) this one."""
        segment = self.segment()
        if segment is None:
            return []
        hosts = segment.hosts
        position = segment.positions[self.host_name]
        offsets = watch_offsets(len(hosts))
        return [hosts[(position + direction * offset) % len(hosts)] for offset in offsets]

    def watchers(self) -> list[Host]:
        """Return the hosts that expect this process's heartbeats."""
        return self.neighbours(+1)

    def watched(self) -> list[Host]:
        """Return the hosts whose heartbeats this process expects."""
        return self.neighbours(-1)

    def is_suspected(self, host_name: str) -> bool:
        """Return whether a majority of a host's watchers accuse it."""
        return host_name in self.suspected_since

    def suspected_for(self, host_name: str, now: float) -> float:
        """Return how many seconds a host has been suspected, 0 if it is not suspected."""
        since = self.suspected_since.get(host_name)
        return 0.0 if since is None else now - since

    def tick(self, now: float) -> list[Effect]:
        """Send heartbeats that are due and accuse watched hosts that have become silent."""
        if now < self.next_heartbeat:
            return []
        self.next_heartbeat = now + HEARTBEAT_S
        heartbeat = Heartbeat(self.host_name, self.incarnation, self.digest)
        effects: list[Effect] = [SendPeer(host.address, heartbeat) for host in self.watchers()]
        changed = [
            self.next_accusation(host.name, True)
            for host in self.watched()
            if now - self.last_heartbeat.get(host.name, now) > SILENCE_TIMEOUT_S
            and not self.accuses(host.name)
        ]
        return effects + self.publish(changed, now)

    def restart_timers(self, now: float) -> None:
        """Restart all silence and suspicion timers, since this process itself was paused."""
        self.last_heartbeat = dict.fromkeys(self.last_heartbeat, now)
        self.suspected_since = dict.fromkeys(self.suspected_since, now)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[Effect]:
        """Record a heartbeat; exchange all accusations with the sender if its digest differs."""
        self.last_heartbeat[heartbeat.host] = now
        effects: list[Effect] = []
        if self.accuses(heartbeat.host):
            effects += self.publish([self.next_accusation(heartbeat.host, False)], now)
        if (
            heartbeat.digest != self.digest
            and self.topology
            and heartbeat.host in self.topology.hosts
        ):
            address = self.topology.hosts[heartbeat.host].address
            pull = Accusations(0, ())
            effects += [SendPeer(address, batch) for batch in (*self.batches(), pull)]
        return effects

    def merge(self, sender: Address, message: Accusations, now: float) -> list[Effect]:
        """Store accusations from a peer and relay those that were new.

        A message without entries requests all accusations known to this process.
        """
        if not message.entries:
            return [SendPeer(sender, batch) for batch in self.batches()]
        new_entries = [entry for entry in message.entries if self.accept(entry)]
        if not new_entries:
            return []
        effects = self.update_suspicions(now)
        return effects + self.relay(Accusations(message.span, tuple(new_entries)), message.span)

    def announce_epoch(self, span: int, previous: Topology | None) -> list[Effect]:
        """Notify the `span` hosts after this one of the epoch, relayed by up to `FAN_OUT` of them.

        Hosts of a failure domain that stays withdrawn are skipped.
        """
        position = self.topology.ring_positions.get(self.host_name) if self.topology else None
        if position is None:
            return []
        skip = self.suspected_since.keys() | self.still_withdrawn(previous)
        targets = relay_targets(self.topology.ring, position, span, skip)
        return [SendPeer(target.host.address, EpochNotice(target.span)) for target in targets]

    def still_withdrawn(self, previous: Topology | None) -> set[str]:
        """Return the hosts of other failure domains that were withdrawn before and still are."""
        if previous is None or not self.topology.withdrawn:
            return set()
        own = self.topology.hosts[self.host_name].failure_domain
        domains = self.topology.withdrawn & previous.withdrawn - {own}
        return {host.name for host in self.topology.ring if host.failure_domain in domains}

    def full_span(self) -> int:
        """Return the span that covers all other hosts of the ring."""
        return len(self.topology.ring) - 1 if self.topology else 0

    def accuses(self, host_name: str) -> bool:
        """Return whether this process currently accuses a host."""
        accusation = self.accusations.get((self.host_name, host_name))
        return accusation is not None and accusation.suspected

    def next_accusation(self, host_name: str, suspected: bool) -> Accusation:
        """Return this process's next accusation of a host, or its retraction."""
        latest = self.accusations.get((self.host_name, host_name))
        counter = max(self.incarnation, latest.counter + 1 if latest else 0)
        return Accusation(self.host_name, host_name, counter, suspected)

    def accept(self, accusation: Accusation) -> bool:
        """Store an accusation if it is newer than the one held; return whether it was."""
        key = (accusation.accuser, accusation.host)
        held = self.accusations.get(key)
        if held is not None and held.counter >= accusation.counter:
            return False
        self.accusations[key] = accusation
        return True

    def publish(self, entries: list[Accusation], now: float) -> list[Effect]:
        """Store this process's own accusations and send them round the ring."""
        entries = [entry for entry in entries if self.accept(entry)]
        if not entries:
            return []
        segment = self.segment()
        span = len(segment.hosts) - 1 if segment else 0
        return self.update_suspicions(now) + self.relay(Accusations(span, tuple(entries)), span)

    def relay(self, message: Accusations, span: int) -> list[Effect]:
        """Relay accusations to this process's share of the ring."""
        segment = self.segment()
        if segment is None or span <= 0:
            return []
        position = segment.positions[self.host_name]
        targets = relay_targets(segment.hosts, position, span, self.suspected_since)
        return [
            SendPeer(target.host.address, Accusations(target.span, message.entries))
            for target in targets
        ]

    def batches(self) -> list[Accusations]:
        """Return all known accusations, split into messages."""
        entries = sorted(self.accusations.values())
        step = ACCUSATIONS_PER_MESSAGE
        return [
            Accusations(0, tuple(entries[start : start + step]))
            for start in range(0, len(entries), step)
        ]

    def is_watcher(self, watcher: str, host: str) -> bool:
        """Return whether a host watches another now; only a watcher can retract its accusation."""
        segment = self.topology.segment_of(host) if self.topology else None
        if segment is None or watcher not in segment.positions:
            return False
        distance = segment.positions[watcher] - segment.positions[host]
        return distance % len(segment.hosts) in watch_offsets(len(segment.hosts))

    def update_suspicions(self, now: float) -> list[Effect]:
        """Recompute the suspected hosts and the digest sent in heartbeats."""
        accusers: dict[str, int] = {}
        active = [entry for entry in self.accusations.values() if entry.suspected]
        counted = [entry for entry in active if self.is_watcher(entry.accuser, entry.host)]
        for entry in counted:
            accusers[entry.host] = accusers.get(entry.host, 0) + 1
        segment = self.segment()
        watchers = watch_offsets(len(segment.hosts)) if segment else []
        needed = len(watchers) // 2 + 1
        suspected = {host for host, count in accusers.items() if count >= needed}
        before = set(self.suspected_since)
        for host in before - suspected:
            del self.suspected_since[host]
        for host in sorted(suspected - before):
            self.suspected_since[host] = now
        text = ",".join(f"{a.accuser}>{a.host}:{a.counter}" for a in sorted(counted))
        self.digest = xxhash.xxh32_intdigest(text.encode())
        return [
            *(LogChange(host, "suspected", "no heartbeat") for host in sorted(suspected - before)),
            *(
                LogChange(host, "alive", "heartbeat received")
                for host in sorted(before - suspected)
            ),
            *([Count("suspicions", len(suspected - before))] if suspected - before else []),
        ]
