"""An error in one effect, datagram, item or call costs that one alone, and is counted."""

from heatheryoke.core.effects import Count, SendPeer
from heatheryoke.core.events import Tick
from heatheryoke.core.messages import Pong
from heatheryoke.daemons import stream_application
from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_roles import StreamAgentApplication
from heatheryoke.daemons.stream_settings import read_stream_settings
from heatheryoke.inventory.model import Address, Role
from tests.test_stream_settings import AGENT_SETTINGS, write_settings

PEER = Address("10.1.0.2", 7_000)


def make_agent(tmp_path):
    path = write_settings(tmp_path, AGENT_SETTINGS)
    settings, _ = read_stream_settings(path, Role.AGENT)
    return StreamAgentApplication(settings, path, JsonLog("a", descriptor=None))


class TestEffects:
    def test_an_effect_that_raises_abandons_no_other(self, tmp_path):
        """A message that could not be encoded took the other effects of its event with it."""
        application = make_agent(tmp_path)
        effects = [SendPeer(PEER, object()), Count("later")]
        application.node.reduce = lambda event: effects
        application.step(Tick(1.0))
        assert application.record.counters == {"faults": 1, "later": 1}

    def test_a_message_that_is_too_long_is_encoded_once_for_all_receivers(
        self, tmp_path, monkeypatch
    ):
        """Load pattern: a change goes to hundreds of processes, and each try takes milliseconds."""
        calls = []

        def fail(data):
            calls.append(data)
            raise ValueError("too long")

        monkeypatch.setattr(stream_application, "split_message", fail)
        application = make_agent(tmp_path)
        message = Pong()
        application.node.reduce = lambda event: [SendPeer(PEER, message)] * 3
        application.step(Tick(1.0))
        assert len(calls) == 1 and application.record.counters == {"faults": 1}
