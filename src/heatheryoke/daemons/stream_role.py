"""Entry point of the byte-stream daemons: `python3 -m heatheryoke.daemons.stream_role ROLE`.

Imports only what these daemons need, since they are small processes that start often.
"""

import os
import signal
import sys
from pathlib import Path

from heatheryoke.platform.process import SETTINGS_VARIABLE

__all__ = ["main"]

EXIT_INVALID = 2


def main(arguments: list[str]) -> int:
    """Run the role named by the first argument and return the exit code.

    The settings file is the second argument, by default the one that the platform names in the
    environment.
    """
    # A reload request that comes before the daemon can reload must not end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.modules.setdefault("ssl", None)  # asyncio then skips its TLS support, which is unused here
    from heatheryoke.daemons.stream_roles import STREAM_APPLICATIONS, run_role

    roles = {role.value: role for role in STREAM_APPLICATIONS}
    if not arguments or arguments[0] not in roles:
        print(f"usage: stream_role {'|'.join(roles)} [SETTINGS]", file=sys.stderr)
        return EXIT_INVALID
    path = arguments[1] if len(arguments) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    code = run_role(roles[arguments[0]], Path(path))
    return EXIT_INVALID if code is None else code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
