"""Runs the tasks of a reducer so that an unexpected exception costs one task or item alone.

Without that, an exception in one of many periodic tasks would end all those after it, at each tick
again, and one in a loop over flows would leave the rest of them out.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from heatheryoke.core.effects import Effect, Fault

__all__ = ["for_each", "isolated"]

Item = TypeVar("Item")


def isolated(task: Callable[..., list[Effect]], *arguments: Any) -> list[Effect]:
    """Return the effects of a task, or a fault if it raises an exception."""
    try:
        return task(*arguments)
    except Exception as error:
        return [Fault(task.__qualname__, error)]


def for_each(items: Iterable[Item], task: Callable[[Item], list[Effect]]) -> list[Effect]:
    """Return the effects of a task for each item, with a fault for each that raises."""
    return [effect for item in items for effect in isolated(task, item)]
