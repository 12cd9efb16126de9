"""A byte-stream deployment that runs each balancer and agent as a separate process."""

import asyncio
import json
import signal
import sys
import tempfile
from collections import deque
from contextlib import suppress
from pathlib import Path

from heatheryoke.daemons.stream_settings import STREAM_SETTINGS
from heatheryoke.standins.foreign_writer import FOREIGN_NAME
from heatheryoke.standins.settings_text import settings_text
from heatheryoke.standins.stream_site import SMALL_SITE, SiteSize, StreamHost, StreamSite

__all__ = ["ProcessStreamSite"]

ROLE_MODULE = "heatheryoke.daemons.stream_role"
LOG_LINE_BYTES = 256 * 1024
# Latest log lines kept per process, to be shown when a check fails.
KEPT_LINES = 400
STOP_TIMEOUT_S = 8.0


class ProcessStreamSite(StreamSite):
    """Starts the processes, reads their logs, and signals only processes started here."""

    def __init__(self, seed: int, size: SiteSize = SMALL_SITE):
        super().__init__(seed, size)
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.all_processes: list[tuple[str, asyncio.subprocess.Process]] = []
        self.started: set[str] = set()
        self.readers: dict[str, asyncio.Task[None]] = {}
        self.logs: dict[str, deque[str]] = {}
        self.faults: list[str] = []
        self.misled_views: list[str] = []
        self.unexpected_exits: list[str] = []
        self.leftovers: list[str] = []

    def write_settings(self, host: StreamHost) -> Path:
        """Write the settings file of a host's process and return its path."""
        text = settings_text(STREAM_SETTINGS, self.settings(host), host.role)
        path = Path(self.folder.name) / f"{host.name}.ini"
        path.write_text(text)
        return path

    async def start_process(self, host: StreamHost) -> None:
        """Start a host's process."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            ROLE_MODULE,
            host.role.value,
            str(self.write_settings(host)),
            stdout=asyncio.subprocess.PIPE,
            limit=LOG_LINE_BYTES,
        )
        self.started.discard(host.name)
        self.processes[host.name] = self.running[host.name] = process
        self.all_processes.append((host.name, process))
        self.incarnations[host.name] += 1
        self.logs.setdefault(host.name, deque(maxlen=KEPT_LINES))
        reader = asyncio.get_running_loop().create_task(self.read_log(host.name, process))
        self.readers[host.name] = reader

    async def read_log(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Keep the latest log lines of a process; record its faults and an unexpected exit.

        Record views in which a malformed entry is an upstream.
        """
        while line := await process.stdout.readline():
            text = line.decode(errors="replace").rstrip()
            self.logs[name].append(text)
            event = json.loads(text).get("event")
            if event == "start":
                self.started.add(name)
            elif event == "fault":
                self.faults.append(f"{name}: {text}")
            elif event == "change" and f"by {FOREIGN_NAME}" in text:
                self.misled_views.append(f"{name}: {text}")
        code = await process.wait()
        if self.processes.get(name) is process:
            self.unexpected_exits.append(f"{name} exited unexpectedly with code {code}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host's process if it runs, also while it stops."""
        if self.is_running(name):
            with suppress(ProcessLookupError):
                self.running[name].send_signal(number)

    def is_running(self, name: str) -> bool:
        """Return whether a host's process runs, also while it stops."""
        process = self.running.get(name)
        return process is not None and process.returncode is None

    async def wait_started(self, name: str) -> None:
        """Wait until a host's process has logged its start, or has ended."""
        while self.is_running(name) and name not in self.started:
            await asyncio.sleep(0.02)

    async def end(self, name: str, number: signal.Signals) -> None:
        """Signal a process and wait for its exit; kill it after `STOP_TIMEOUT_S`."""
        process = self.processes.pop(name)
        with suppress(ProcessLookupError):
            process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            self.unexpected_exits.append(
                f"{name} did not exit within {STOP_TIMEOUT_S:g} s of the signal"
            )
            process.kill()
            await process.wait()

    async def stop_process(self, name: str) -> None:
        """Stop a process gracefully."""
        await self.end(name, signal.SIGTERM)

    async def kill_process(self, name: str) -> None:
        """Kill a process."""
        await self.end(name, signal.SIGKILL)

    async def close(self) -> None:
        """Kill every process that was started here and close the stand-ins."""
        await self.end_leftovers()
        for name in list(self.processes):
            await self.kill_process(name)
        await asyncio.gather(*self.readers.values(), return_exceptions=True)
        await super().close()
        self.folder.cleanup()

    async def end_leftovers(self) -> None:
        """Kill and record the processes that run although no host of the site has them."""
        for name, process in self.all_processes:
            if process.returncode is None and self.processes.get(name) is not process:
                self.leftovers.append(f"{name}: process {process.pid} was left running")
                with suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
