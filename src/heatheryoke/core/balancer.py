"""The balancer's reducer: passes each caller's packet to its flow's owner or home."""

from heatheryoke.core.forwarder import Forwarder
from heatheryoke.core.ring_node import RingNode

__all__ = ["Balancer"]

STOP_LINGER_S = 1.0


class Balancer(Forwarder, RingNode):
    """Holds the configuration in force and a bounded cache of flow owners; nothing else."""

    def is_idle(self, now: float) -> bool:
        """Tell whether the fabric has had time to notice the stop."""
        return self.stopping_since is not None and now - self.stopping_since > STOP_LINGER_S
