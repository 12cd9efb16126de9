"""Makes property tests deterministic, and fails a test that makes a reducer catch an exception."""

import pytest
from hypothesis import HealthCheck, settings

from heatheryoke.core.effects import Fault

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("fixed")


@pytest.fixture(autouse=True, scope="session")
def raise_faults():
    """Raise what a reducer has caught, since a fault would pass unnoticed among its effects."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Fault, "__new__", raise_error)
        yield


@pytest.fixture
def expects_faults():
    """Let a reducer catch exceptions, for a test of what they cost."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Fault, "__new__", make_fault)
        yield


make_fault = Fault.__new__


def raise_error(fault_type, kind, error):
    """Raise the exception of a fault that is made."""
    raise error
