"""A CoAP deployment that runs each balancer and agent as a separate process."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp

from heatheryoke.daemons.settings import SETTINGS
from heatheryoke.inventory.model import Host, Role
from heatheryoke.standins.settings_text import settings_text
from heatheryoke.standins.site import Site

START_TIMEOUT_S = 20.0


class ProcessSite(Site):
    """Starts each host's process from a settings file, and signals only processes started here."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.folder = tempfile.TemporaryDirectory()
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def write_settings(self, host: Host) -> Path:
        text = settings_text(SETTINGS, self.settings(host), host.role)
        path = Path(self.folder.name) / f"{host.name}.ini"
        path.write_text(text)
        return path

    async def start_process(self, host: Host) -> None:
        path = self.write_settings(host)
        log = open(Path(self.folder.name) / f"{host.name}.log", "ab")  # noqa: SIM115
        self.processes[host.name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heatheryoke",
            host.role.value,
            str(path),
            stdout=log,
            stderr=log,
        )
        log.close()
        if host.role is Role.BALANCER:
            self.fabric.balancers.append(self.fabric_listens[host.name])

    def send_signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].pid, number)

    async def kill(self, name: str) -> None:
        self.send_signal(name, signal.SIGKILL)
        await self.processes.pop(name).wait()

    async def stop(self, name: str) -> int:
        self.send_signal(name, signal.SIGTERM)
        return await self.processes.pop(name).wait()

    def hide_balancer(self, name: str) -> None:
        self.fabric.balancers.remove(self.fabric_listens[name])

    async def status(self, name: str) -> dict | None:
        url = f"http://{self.status_addresses[name]}/status"
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2)) as session,
                session.get(url) as response,
            ):
                return await response.json()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def first_status(self, name: str) -> dict:
        """Return the first status that a process answers; waits while it is starting."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while (status := await self.status(name)) is None:
                await asyncio.sleep(0.05)
        return status

    async def wait_for_epoch(self, timeout_s: float = START_TIMEOUT_S) -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        waiting = set(self.processes)
        while waiting:
            for name in list(waiting):
                status = await self.status(name)
                if status and status["epoch"] >= self.document.version:
                    waiting.discard(name)
            if loop.time() - began > timeout_s:
                raise TimeoutError(
                    f"current epoch not in force at {sorted(waiting)} before the time-out"
                )
            await asyncio.sleep(0.05)
        return loop.time() - began

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await super().close()
        self.folder.cleanup()
