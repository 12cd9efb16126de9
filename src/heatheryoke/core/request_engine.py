"""Request timeouts, feed renewal and recovery from upstream failures."""

from math import inf

import xxhash

from heatheryoke.core.admission import Admission
from heatheryoke.core.effects import (
    AnswerCaller,
    Count,
    Deliver,
    Effect,
)
from heatheryoke.core.flows import FlowKey
from heatheryoke.core.isolation import isolated
from heatheryoke.core.ownership import OwnedFlow
from heatheryoke.core.request_dispatcher import RequestDispatcher, RequestId
from heatheryoke.core.requests import (
    ActiveRequest,
    RefusalReason,
    RequestPhase,
)

__all__ = ["RequestEngine"]

PROBE_INTERVAL_S = 0.5
RENEWAL_TIMEOUT_S = 3.0


class RequestEngine(RequestDispatcher):
    """A request dispatcher that expires requests, renews feeds and handles upstream failures."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.next_probe_at: dict[str, float] = {}

    def advance(self, now: float) -> list[Effect]:
        """Advance claims, probes, queued requests and timeouts to `now`."""
        effects = isolated(self.claims.advance, now)
        effects += isolated(self.probe_stalled, now)
        for admission in list(self.admissions.values()):
            effects += isolated(self.advance_admission, admission, now)
        for key, active in list(self.pending.items()):
            effects += isolated(self.expire, key, active, now)
        return effects

    def advance_admission(self, admission: Admission, now: float) -> list[Effect]:
        """Advance the queue of one service to `now`."""
        return self.apply_decision(admission.advance(now), now)

    def expire(self, key: RequestId, active: ActiveRequest, now: float) -> list[Effect]:
        """Answer a request that has timed out, or free the slot of an abandoned one."""
        if active.phase is RequestPhase.RUNNING:
            return self.expire_running(active, now)
        if active.phase is RequestPhase.ABANDONED and now > active.deadline:
            del self.pending[key]
            self.admission(active.service, now).abandon(active)
            return self.claims.mark_unknown(active)
        if active.phase is RequestPhase.WAITING and now > active.deadline:
            self.claims.stop_waiting(active)
            return self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        return []

    def expire_running(self, active: ActiveRequest, now: float) -> list[Effect]:
        """Time out a running request; its slot stays occupied for as long again.

        A renewal is queued again instead.
        """
        timeout_s = self.admission(active.service, now).answer_timeout_s(active)
        if now < min(active.deadline, active.started + timeout_s):
            return []
        if active.is_renewal:
            self.retry_renewal(active, now)
            return []
        active.phase = RequestPhase.ABANDONED
        active.deadline = now + timeout_s
        return self.answer_unknown(active, now)

    def probe_stalled(self, now: float) -> list[Effect]:
        """Probe upstreams whose requests in progress are all overdue."""
        effects: list[Effect] = []
        for service, admission in self.admissions.items():
            if not admission.is_stalled() or now < self.next_probe_at.get(service, 0.0):
                continue
            self.next_probe_at[service] = now + PROBE_INTERVAL_S
            flow = next(iter(admission.running))[0]
            message_id = xxhash.xxh32_intdigest(flow, int(now * 1000)) & 0xFFFF
            payload = self.codec_of(service).probe(message_id)
            if payload:
                self.probes[flow] = message_id
                effects += [Count("probes"), Deliver(flow, payload)]
        return effects

    def on_upstream_gone(self, owned: OwnedFlow, now: float) -> list[Effect]:
        """Treat the requests and feeds of an unreachable upstream as lost.

        The outcome of its running requests is unknown. Its feeds are renewed once it is back.
        """
        service = owned.service
        self.admission(service, now).mark_unreachable(now)
        effects: list[Effect] = [Count("upstream_gone")]
        for active in list(self.pending.values()):
            if active.service != service or active.phase is not RequestPhase.RUNNING:
                continue
            if active.is_renewal:
                self.retry_renewal(active, now)
                continue
            effects += self.claims.mark_unknown(active)
            effects += self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        self.renew_feeds(service, now)
        return effects

    def restore_feed(self, owned: OwnedFlow, payload: bytes, now: float) -> list[Effect]:
        """Restore a feed after a restart of this agent and queue its renewal."""
        request = self.codec_of(owned.service).read_request(payload)
        if request is None:
            return [Count("malformed_requests")]
        active = ActiveRequest(owned.flow, owned.service, request, payload, now, inf, 1.0)
        self.open_feed(owned, active)
        self.renew_feed(active, now)
        return []

    def renew_feeds(self, service: str, now: float) -> None:
        """Queue the renewal of every feed of an upstream that may have lost them."""
        renewals = self.admission(service, now).renewals
        for key, feed in self.feeds.items():
            if feed.service == service and key not in renewals and key not in self.pending:
                self.renew_feed(feed, now)

    def renew_feed(self, feed: ActiveRequest, now: float) -> None:
        """Queue the renewal of a feed, which occupies a slot like any request."""
        number = xxhash.xxh32_intdigest(feed.flow + feed.request.token, int(now * 1000))
        payload = self.codec_of(feed.service).renewal(feed.payload, number & 0xFFFF)
        renewal = ActiveRequest(
            feed.flow, feed.service, feed.request, payload, now, now + RENEWAL_TIMEOUT_S, 1.0
        )
        renewal.is_renewal = True
        self.admission(feed.service, now).renew(renewal)

    def start_renewal(self, renewal: ActiveRequest, now: float) -> list[Effect]:
        """Deliver a feed's renewal to the upstream, unless the feed has ended meanwhile."""
        key = (renewal.flow, renewal.request.token)
        if key in self.pending or key not in self.feeds:
            self.admission(renewal.service, now).abandon(renewal)
            return []
        renewal.deadline = now + RENEWAL_TIMEOUT_S
        self.pending[key] = renewal
        return [Count("feeds_renewed"), Deliver(renewal.flow, renewal.payload)]

    def retry_renewal(self, active: ActiveRequest, now: float) -> None:
        """Queue an unanswered renewal again."""
        self.admission(active.service, now).abandon(active)
        del self.pending[active.flow, active.request.token]
        self.renew_feed(active, now)

    def reset(self, flows: set[FlowKey], reason: RefusalReason, now: float) -> list[Effect]:
        """End every request and feed of some flows, and answer their callers at once."""
        effects: list[Effect] = []
        for active in [active for active in self.pending.values() if active.flow in flows]:
            effects += self.reset_request(active, reason, now)
        for flow in sorted(flows):
            effects += self.end_feeds(flow, now)
        return effects

    def reset_silently(self, flows: set[FlowKey], now: float) -> list[Effect]:
        """End every request and feed of some flows without answering their callers."""
        effects = self.reset(flows, RefusalReason.STOPPING, now)
        return [
            effect
            for effect in effects
            if not isinstance(effect, AnswerCaller) or effect.flow not in flows
        ]

    def reset_request(
        self, active: ActiveRequest, reason: RefusalReason, now: float
    ) -> list[Effect]:
        """End one request; only a queued request may be refused as "not run"."""
        admission = self.admission(active.service, now)
        if active.is_renewal:
            admission.abandon(active)
            del self.pending[active.flow, active.request.token]
            return []
        if active.phase is RequestPhase.QUEUED:
            admission.remove_queued(active)
            return self.refuse(active, reason, now)
        if active.phase is RequestPhase.CLAIMING:
            effects = self.claims.cancel(active, now)
            active.attempt = 0
            return effects + self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)
        self.claims.stop_waiting(active)
        admission.abandon(active)
        effects = self.claims.mark_unknown(active)
        if active.phase is RequestPhase.ABANDONED:
            self.pending.pop((active.flow, active.request.token), None)
            return effects
        return effects + self.refuse(active, RefusalReason.OUTCOME_UNKNOWN, now)

    def end_feeds(self, flow: FlowKey, now: float) -> list[Effect]:
        """End the feeds of a flow and notify its caller."""
        effects: list[Effect] = []
        keys = [key for key in self.feeds if key[0] == flow]
        for key in keys:
            renewal = self.pending.get(key)
            if renewal is not None and renewal.is_renewal:
                self.admission(renewal.service, now).abandon(renewal)
            effects += self.refuse(self.feeds.pop(key), RefusalReason.FEED_ENDED, now)
        return effects
