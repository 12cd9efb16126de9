"""Runs one role on byte streams: `python3 -m heatheryoke.daemons.stream_role ROLE`.

Loads only what that role needs, since such processes are small and often started.
"""

import os
import sys
from pathlib import Path

sys.modules.setdefault("ssl", None)  # asyncio then leaves TLS out, which nothing here speaks

import asyncio

from heatheryoke.daemons.json_log import JsonLog
from heatheryoke.daemons.stream_application import STREAM_APPLICATIONS
from heatheryoke.daemons.stream_settings import read_stream_settings
from heatheryoke.inventory.model import Role

__all__ = ["main"]

SETTINGS_VARIABLE = "HEATHERYOKE_BOOT"
EXIT_UNUSABLE = 2


async def _run(role: Role) -> int:
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings, problems = read_stream_settings(path, role)
    log = JsonLog(settings.name if settings else role.value)
    if settings is None:
        log.write("settings refused", problems=[str(problem) for problem in problems])
        return EXIT_UNUSABLE
    return await STREAM_APPLICATIONS[role](settings, path, log).run()


def main(arguments: list[str]) -> int:
    """Run the role that the only argument names; return the exit code."""
    roles = {role.value: role for role in Role}
    if len(arguments) != 1 or arguments[0] not in roles:
        print(f"usage: stream_role {'|'.join(roles)}", file=sys.stderr)
        return EXIT_UNUSABLE
    return asyncio.run(_run(roles[arguments[0]]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
