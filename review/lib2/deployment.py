"""A small deployment: the project's programs as processes, with stand-ins for all around them."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import zlib
from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

from client import Client, Flow
from endpoint import Endpoint
from store import Store
from wire import Address, FlowKey

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
PORT_NAMES = ("callers", "status", "outbound", "app", "peers", "store")
CONTACT_S, IDLE_TIMEOUT_S, FLOW_TTL_S = 4.0, 15.0, 60.0
PROBE_S, PROBE_MISSES = 0.5, 2
GRACE_S = 6.0
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


class Machine(NamedTuple):
    """A machine of the system with its role, and the service of its endpoint."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""


class Trace(NamedTuple):
    """One entry of a flow's trace."""

    at: float
    who: str
    what: str
    detail: str

    def __str__(self) -> str:
        return f"    {self.at:8.3f} s  {self.who:<14} {self.what} {self.detail}".rstrip()


class Site:
    """Starts, kills, stops and continues the processes, routes packets, and judges resets."""

    def __init__(
        self,
        balancers: int = 3,
        agents: int = 12,
        heartbeat_s: float = 1.2,
        slots: int = 2,
        work_s: float = 0.05,
        seed: int = 1,
    ):
        self.random = random.Random(seed)
        self.heartbeat_s, self.slots, self.work_s = heartbeat_s, slots, work_s
        self.machines: dict[str, Machine] = {}
        for number in range(balancers):
            self.add_machine("balancer", number)
        for number in range(agents):
            self.add_machine("agent", number, "svc")
        self.ports = self.free_ports()
        self.route_address = ("127.34.0.1", 443)
        self.store = Store(heartbeat_s)
        self.processes: dict[str, subprocess.Popen] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.all_endpoints: list[Endpoint] = []
        self.clients: list[Client] = []
        self.misses: dict[str, int] = {}
        self.first_start = True
        self.folder = tempfile.TemporaryDirectory()
        self.disturbed_at: dict[str, float] = {}
        self.disturbed_now: set[str] = set()
        self.began = time.monotonic()
        self.began_at = time.time()
        self.traces: defaultdict[FlowKey, list[Trace]] = defaultdict(list)
        self.log: list[str] = []
        self.resets_of_open: list[tuple[str, FlowKey, bool, str]] = []
        self.tasks: list[asyncio.Task] = []
        self.files: list[Any] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: shlex.split(row["run"]) for name, row in deploy["roles"].items()}
        self.template = (ROOT / "deploy/settings.ini").read_text()

    def add_machine(self, role: str, number: int, service: str = "") -> None:
        """Add a machine; the zones take turns."""
        zone = number % len(ZONES)
        network = 30 if role == "balancer" else 31
        ip = f"127.{network}.{zone}.{number // len(ZONES) + 10}"
        name = f"{role}-{number + 1}"
        self.machines[name] = Machine(name, role, ip, ZONES[zone], service)

    def free_ports(self) -> dict[str, int]:
        """Return ports that are free on all machines."""
        while True:
            first = random.randrange(20_000, 30_000, 10)
            ports = {name: first + offset for offset, name in enumerate(PORT_NAMES)}
            ips = [machine.ip for machine in self.machines.values()] + ["127.32.0.1"]
            with_sockets: list[socket.socket] = []
            try:
                for ip in ips:
                    for port in ports.values():
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with_sockets.append(socket.socket(socket.AF_INET, kind))
                            with_sockets[-1].bind((ip, port))
                return ports
            except OSError:
                continue
            finally:
                for row in with_sockets:
                    row.close()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.began

    def say(self, text: str) -> None:
        """Record a line."""
        self.log.append(f"{self.now():8.3f} s  {text}")

    def note(self, flow: FlowKey, who: str, what: str, detail: Any = "") -> None:
        """Record an event of a flow."""
        self.traces[flow].append(Trace(self.now(), who, what, str(detail)))

    # The platform

    def settings(self, machine: Machine) -> str:
        """Return the settings file of a machine's process, by the project's template."""
        ports, ip = self.ports, machine.ip
        is_agent = machine.role == "agent"
        fields = {
            "nodeName": machine.name,
            "ip": ip,
            "zone": machine.zone,
            "bootstrap": str(self.first_start).lower(),
            "internalPorts": f"{ports['peers']},{ports['peers']}",
            "listen.datagramAddr": f"{ip}:{ports['callers']}",
            "listen.ready": f"{ip}:{ports['status']}",
            "listen.outbound": f"{ip}:{ports['outbound']}" if is_agent else "",
            "platform.address": f"127.32.0.1:{ports['store']}",
            "bounds.drainMs": "3000",
            "bounds.configMs": "3000",
            "bounds.flowTtlS": "60",
            "app": f"{ip}:{ports['app']}" if is_agent else "",
            "service": machine.service,
            "contracts": "base,drain,config,cost,recover,flows,places,platform",
        }
        return PLACEHOLDER.sub(lambda match: fields[match[1]], self.template)

    def publish(self, version: int, **service: Any) -> None:
        """Write the configuration."""
        host, port = self.route_address
        route = {
            "name": "r-svc",
            "host": host,
            "prefix": f"/{port}/",
            "kind": "idempotent",
            "timeoutMs": 2_000,
            "targetLatencyMs": 200,
            "priority": 1,
            "service": "svc",
            "maxAttempts": 2,
        }
        limits = {"maxConns": 2_000, "warmupS": 2.0, "warmupPerS": 0.0, "healthPath": "/health"}
        value = {
            "version": version,
            "routes": [route],
            "services": [{"name": "svc"} | limits | service],
            "limits": {"idleTimeoutMs": int(IDLE_TIMEOUT_S * 1_000)},
        }
        self.store.put("op/config", value)

    async def start(self) -> None:
        """Start the store, the endpoints and the processes; wait until balancers are ready."""
        await self.store.start(("127.32.0.1", self.ports["store"]))
        self.publish(3)
        for machine in self.machines.values():
            if machine.role == "agent":
                await self.start_endpoint(machine)
        for machine in self.machines.values():
            self.start_process(machine)
        self.tasks.append(asyncio.create_task(self.probe()))
        while len(self.in_rotation()) < len(self.of_role("balancer")):
            await asyncio.sleep(0.1)
        self.first_start = False

    def of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [machine for machine in self.machines.values() if machine.role == role]

    async def start_endpoint(self, machine: Machine, name: str = "") -> Endpoint:
        """Start an endpoint, under a new id if none is given."""
        ports = self.ports
        endpoint = Endpoint(
            name or f"i-{self.random.getrandbits(32):08x}",
            machine.service,
            machine.zone,
            (machine.ip, ports["app"]),
            (machine.ip, ports["outbound"]),
            self.store,
            self.note,
            self.slots,
            self.work_s,
        )
        self.endpoints[machine.name] = endpoint
        self.all_endpoints.append(endpoint)
        await endpoint.start()
        return endpoint

    def start_process(self, machine: Machine) -> None:
        """Start a machine's process by the deploy file's command."""
        path = Path(self.folder.name) / f"{machine.name}.ini"
        path.write_text(self.settings(machine))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"HEATHERYOKE_BOOT": str(path), "PYTHONPATH": "target/deps"}
        output = open(Path(self.folder.name) / f"{machine.name}.log", "ab")  # noqa: SIM115
        self.files.append(output)
        self.processes[machine.name] = subprocess.Popen(
            self.commands[machine.role], cwd=ROOT, env=environment, stdout=output, stderr=output
        )

    def disturb(self, name: str) -> None:
        """Record that a disruption of a machine begins."""
        self.disturbed_now.add(name)

    def calm(self, name: str) -> None:
        """Record that a disruption of a machine ends."""
        self.disturbed_now.discard(name)
        self.disturbed_at[name] = time.monotonic()

    def kill(self, machine: Machine) -> None:
        """Kill a machine's process with SIGKILL."""
        self.disturb(machine.name)
        process = self.processes.pop(machine.name)
        process.kill()
        process.wait()

    def restart(self, machine: Machine) -> None:
        """Start a machine's process again."""
        self.start_process(machine)
        self.calm(machine.name)

    async def power_off(self, machines: list[Machine], for_s: float) -> None:
        """Let machines, with their endpoints, lose power for a time."""
        self.say(f"power lost for {for_s} s: {', '.join(row.name for row in machines)}")
        for machine in machines:
            self.kill(machine)
            self.endpoints.pop(machine.name).power_off()
        await asyncio.sleep(for_s)
        self.say("power is back")
        for machine in machines:
            await self.start_endpoint(machine)
            self.restart(machine)

    async def kill_processes(self, machines: list[Machine], for_s: float) -> None:
        """Kill the processes of machines whose endpoints live on; start them after a time."""
        self.say(f"killed for {for_s} s: {', '.join(row.name for row in machines)}")
        for machine in machines:
            self.kill(machine)
        await asyncio.sleep(for_s)
        self.say("they are started again")
        for machine in machines:
            self.restart(machine)

    async def roll(self, machines: list[Machine], gap_s: float, down_s: float) -> None:
        """Stop machines' processes with SIGTERM, one after the other, and start them again."""
        for machine in machines:
            began = time.monotonic()
            self.say(f"SIGTERM to {machine.name}")
            process = self.processes.pop(machine.name)
            process.terminate()
            while process.poll() is None and time.monotonic() - began < GRACE_S:
                await asyncio.sleep(0.02)
            process.kill()
            process.wait()
            await asyncio.sleep(down_s)
            self.start_process(machine)
            await asyncio.sleep(gap_s)

    async def freeze(self, machines: list[Machine], for_s: float) -> None:
        """Let machines' processes stand still for a time."""
        self.say(f"frozen for {for_s} s: {', '.join(row.name for row in machines)}")
        for machine in machines:
            self.disturb(machine.name)
            self.processes[machine.name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.say("they run again")
        for machine in machines:
            self.processes[machine.name].send_signal(signal.SIGCONT)
            self.calm(machine.name)

    async def probe(self) -> None:
        """Probe the readiness of each balancer twice per second."""
        while True:
            rows = self.of_role("balancer")
            ready = await asyncio.gather(*(self.is_ready(machine) for machine in rows))
            for machine, is_ready in zip(rows, ready, strict=True):
                self.misses[machine.name] = 0 if is_ready else self.misses.get(machine.name, 1) + 1
            await asyncio.sleep(PROBE_S)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a balancer responds with 200."""
        try:
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(machine.ip, self.ports["status"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def in_rotation(self) -> list[Machine]:
        """Return the balancers that packets are sent to."""
        rows = self.of_role("balancer")
        return [row for row in rows if self.misses.get(row.name, PROBE_MISSES) < PROBE_MISSES]

    def route(self, flow: FlowKey, zone: str) -> Address | None:
        """Return the balancer that the router selects for a packet: of the zone, else any."""
        rows = self.in_rotation()
        rows = [row for row in rows if row.zone == zone] or rows
        if not rows:
            return None
        return rows[zlib.crc32(repr(flow).encode()) % len(rows)].ip, self.ports["callers"]

    # Clients

    async def add_clients(self, count: int) -> None:
        """Start clients, spread over the zones."""
        for number in range(count):
            address = f"127.33.{number % 3}.{number // 3 + 1}", self.ports["callers"]
            zone = ZONES[number % 3]
            client = Client(address, zone, self.route, self.note, self.on_reset)
            await client.start()
            self.clients.append(client)

    async def offer(self, rate: float, for_s: float, requests: int, pause_s: float) -> None:
        """Start sessions at a rate for a time."""
        ends = time.monotonic() + for_s
        running: set[asyncio.Task] = set()
        due = time.monotonic()
        while due < ends:
            due += self.random.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            client = self.random.choice(self.clients)
            task = asyncio.create_task(
                client.session(self.route_address, requests, pause_s, deadline_s=2.0)
            )
            running.add(task)
            task.add_done_callback(running.discard)
        while running:
            await asyncio.wait(running)

    # The rule FLOW (a)

    def on_reset(self, flow: Flow, sender: str) -> None:
        """Judge a reset of the system's own that a client has got."""
        self.note(flow.key, "client", "gets a reset", f"from {sender}")
        for name, endpoint in self.endpoints.items():
            held = endpoint.flows.get(flow.key)
            if held is None or held.opened_at is None or held.is_over:
                continue
            excuse = self.excuse(flow, name, sender, held.opened_at)
            self.resets_of_open.append((name, flow.key, not excuse, excuse))
            verdict = f"excused: {excuse}" if excuse else "breaks FLOW (a)"
            self.say(f"reset of a flow that is open at {name}, {verdict}")

    def excuse(self, flow: Flow, endpoint: str, sender: str, opened_at: float) -> str:
        """Return why a reset of an open flow does not count, an empty text if it does."""
        names = {machine.ip: machine.name for machine in self.machines.values()}
        involved = {endpoint, names[sender], *(names[ip] for ip in flow.balancers)}
        for name in sorted(involved):
            if name in self.disturbed_now:
                return f"{name} is disturbed"
            if time.monotonic() - self.disturbed_at.get(name, 0.0) < CONTACT_S:
                return f"{name} was disturbed in the last {CONTACT_S} s"
        if time.monotonic() - flow.began > FLOW_TTL_S:
            return "the flow is too old"
        return ""

    # The end

    def close(self) -> None:
        """End all processes that were started here."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for endpoint in self.endpoints.values():
            endpoint.power_off()
        self.store.close()
        for file in self.files:
            file.close()

    def summary(self) -> list[str]:
        """Return what was sent, answered and run."""
        outcomes: defaultdict[str, int] = defaultdict(int)
        for client in self.clients:
            for outcome, count in client.outcomes.items():
                outcomes[outcome] += count
        events = [row for trace in self.traces.values() for row in trace]
        sent = sum(row.what == "sends SYN" and row.detail == "0" for row in events)
        opened = sum(row.what == "has the end of the handshake" for row in events)
        run = [row.detail for row in events if row.what == "runs"]
        return [
            f"flows tried by clients: {sent}; opened at endpoints: {opened}",
            "outcomes at clients: "
            + ", ".join(f"{name}: {count}" for name, count in sorted(outcomes.items())),
            f"requests run by endpoints: {len(run)}, of which twice: {len(run) - len(set(run))}",
            f"answers of other requests: {sum(len(client.mixed) for client in self.clients)}",
            f"altered packets: {sum(row.altered for row in (*self.clients, *self.all_endpoints))}",
        ]

    def violations(self) -> list[tuple[str, FlowKey, bool, str]]:
        """Return the resets of open flows that nothing excuses."""
        return [row for row in self.resets_of_open if row[2]]

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run, and the traces of the flows at fault."""
        lines = [*self.log, "", *self.summary()]
        lines.append(
            f"resets of open flows: {len(self.resets_of_open)},"
            f" of which break FLOW (a): {len(self.violations())}"
        )
        for name, flow, _, _ in self.violations()[:6]:
            lines += ["", f"flow from {flow[0][0]}:{flow[0][1]}, open at {name}:"]
            lines += [*map(str, self.traces[flow]), *self.decisions(flow)]
        path.write_text("\n".join(lines) + "\n")

    def decisions(self, flow: FlowKey) -> list[str]:
        """Return the lines of the processes' logs on a flow, with seconds since the start."""
        text = f"{flow[0][0]}:{flow[0][1]}>{flow[1][0]}:{flow[1][1]}"
        rows: list[tuple[float, str]] = []
        for path in sorted(Path(self.folder.name).glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if f'"{text}"' not in line:
                    continue
                entry = json.loads(line)
                at = entry.pop("time") - self.began_at
                who, what = entry.pop("process"), entry.pop("event")
                facts = " ".join(f"{name}={value}" for name, value in entry.items())
                rows.append((at, f"    {at:8.3f} s  log of {who:<8} {what}: {facts[:240]}"))
        return [row for _, row in sorted(rows)]
