"""A small deployment on loopback: stand-ins for the store, endpoints, clients and routers.

The project's own programs run as separate processes, with the commands of `deploy/system.toml` and
settings filled into `deploy/settings.ini`. The stand-ins follow the platform's pages.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from collections import deque
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<IH4sH4sIBBIIH")
SYN, ACK, FIN, RST, BOUNCED = 128, 1, 32, 64, 2
SUM_KEY = b"review"
DATA_BYTES = 1_200
# Bounds of the deployment, as in `bounds.*` of a small site.
DRAIN_MS = 3_000
CONFIG_MS = 3_000
FLOW_TTL_S = 60
FLOW_SLACK_S = 2.0
HEARTBEAT_S = 1.2
PROBE_S = 0.5
RESTART_DELAY_S = 0.1
ZONES = ("zone-a", "zone-b", "zone-c")
HISTORY_EVENTS = 20_000


def now() -> float:
    """Return monotonic seconds."""
    return time.monotonic()


class Packet:
    """One packet of a flow."""

    def __init__(self, data: bytes):
        fields = HEADER.unpack_from(data)
        self.sum, self.sport, src, self.dport, dst = fields[:5]
        self.echo, self.flags, self.pad, self.seq, self.ack, self.len = fields[5:]
        self.src, self.dst = ".".join(map(str, src[::-1])), ".".join(map(str, dst[::-1]))
        self.raw, self.data = data, data[HEADER.size :]

    def has(self, flag: int) -> bool:
        """Return whether a flag is set."""
        return bool(self.flags & flag)

    def is_unaltered(self) -> bool:
        """Return whether the packet is as its sender wrote it."""
        return self.sum == checksum(self.raw) and self.echo == 0 and self.pad == 0


def checksum(raw: bytes) -> int:
    """Return the keyed sum over all fields but `sum`, `echo`, `pad` and BOUNCED."""
    flags = bytes([raw[20] & ~BOUNCED & 0xFF])
    return zlib.crc32(SUM_KEY + raw[4:16] + flags + raw[22:]) or 1


def build(source, target, flags, seq, ack, data=b"") -> bytes:
    """Return a packet from one end of a flow to the other."""
    raw = HEADER.pack(
        0,
        source[1],
        socket.inet_aton(source[0])[::-1],
        target[1],
        socket.inet_aton(target[0])[::-1],
        0,
        flags,
        0,
        seq % 2**32,
        ack % 2**32,
        len(data),
    )
    return struct.pack("<I", checksum(raw + data)) + (raw + data)[4:]


class Udp:
    """A UDP socket on the running loop."""

    def __init__(self, address, receive):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind(address)
        self.receive = receive
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.socket.fileno(), self.read)

    def read(self) -> None:
        """Read what is queued."""
        for _ in range(200):
            try:
                data, sender = self.socket.recvfrom(65_535)
            except OSError:
                return
            self.receive(data, sender)

    def send(self, data: bytes, to) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        with suppress(OSError):
            self.socket.sendto(data, to)

    def close(self) -> None:
        """Close the socket."""
        if self.socket.fileno() >= 0:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()


class Store:
    """The platform's store: items with revisions, ranges by pages, and watches."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.events: deque[dict] = deque(maxlen=HISTORY_EVENTS)
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = None
        self.writers: set = set()

    async def start(self, address) -> None:
        """Listen for calls."""
        self.server = await asyncio.start_server(self.serve, *address)

    async def close(self) -> None:
        """Stop."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def put(self, key: str, value) -> float:
        """Write an item, or raw bytes, and return the time of the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        made = self.items.get(key, {}).get("createRevision", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "createRevision": made,
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)
        return now()

    def delete(self, key: str) -> float:
        """Remove an item and return the time of the acknowledgement."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "tombstone": True})
        return now()

    def note(self, event: dict) -> None:
        """Record an event and wake the watches."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                await asyncio.sleep(0.004)
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target: str):
        """Return the status and the body of a call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (404, {})
        if url.path == "/v1/kv-range":
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > query.get("after", "")
            )
            items = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "hasMore": len(keys) > 500,
                "currentRev": self.revision,
            }
        after, ends = int(query["after"]), now() + int(query["waitMs"]) / 1000
        if self.events and after < self.events[0]["revision"] - 1:
            return 410, {}
        while True:
            events = [
                e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = ends - now()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


class Connection:
    """One flow at an endpoint."""

    def __init__(self, first: int, expected: int):
        self.first = self.next = first
        self.expected = expected
        self.is_open = False
        self.closed = False
        self.request = b""
        self.acknowledged = first

    def is_of_another(self, packet: Packet) -> bool:
        """Return whether a packet follows the acceptance of another endpoint."""
        return not (self.is_open or packet.has(SYN) or packet.ack == self.first)


class Endpoint:
    """An endpoint: accepts flows, answers requests, returns packets of flows that it lacks."""

    def __init__(self, site, host, identity: str):
        self.site, self.host, self.identity = site, host, identity
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.sequence = 0
        self.connections: dict = {}
        self.port = None
        self.health = None
        self.is_running = False
        self.tasks: set = set()

    async def start(self, cold_s: float = 0.0) -> None:
        """Open the sockets and register."""
        self.cold_until = now() + cold_s
        self.port = Udp(self.host.app, self.receive)
        self.health = await asyncio.start_server(self.serve_health, *self.host.app)
        self.is_running = True
        self.write_entry()
        self.spawn(self.beat())

    async def crash(self) -> None:
        """End at once and discard the flows; the entry stays until the store removes it."""
        self.is_running = False
        for task in self.tasks:
            task.cancel()
        self.port.close()
        self.health.close()
        self.connections.clear()

    async def serve_health(self, reader, writer) -> None:
        """Answer a health check."""
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    def entry(self) -> dict:
        """Return what the endpoint says of itself."""
        return {
            "service": self.host.service,
            "address": f"{self.host.app[0]}:{self.host.app[1]}",
            "zone": self.host.zone,
            "version": "v1",
            "concurrency": self.site.slots,
            "state": self.state,
            "warmupLeftMs": max(0, int((self.cold_until - now()) * 1000)),
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self) -> float:
        """Register, or report a change; return the time of the store's acknowledgement."""
        self.sequence += 1
        return self.site.store.put(f"servers/{self.identity}", self.entry())

    async def beat(self) -> None:
        """Write the entry at every heartbeat."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    def spawn(self, coroutine) -> None:
        """Start a task and keep a reference to it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def receive(self, data: bytes, sender) -> None:
        """Take one packet from the node on this machine."""
        packet = Packet(data)
        flow = (packet.src, packet.sport, packet.dst, packet.dport)
        connection = self.connections.get(flow)
        if connection is not None and connection.is_of_another(packet):
            connection = None
        self.site.on_arrival(self, flow, packet, connection)
        if packet.has(SYN):
            if connection is None:
                start = random.getrandbits(32)
                connection = Connection((start + 1) % 2**32, (packet.seq + 1) % 2**32)
                self.connections[flow] = connection
            self.send(flow, SYN | ACK, connection.first - 1, connection.expected)
        elif connection is None:
            returned = bytearray(data)
            returned[20] |= BOUNCED
            returned[21] = 0
            self.port.send(bytes(returned), self.host.outbound)
        elif packet.has(RST):
            del self.connections[flow]
        else:
            self.on_segment(flow, packet, connection)

    def on_segment(self, flow, packet: Packet, connection: Connection) -> None:
        """Take data, acknowledgements and the end of a flow."""
        if packet.ack == connection.first and not connection.is_open:
            connection.is_open = True
            self.site.on_open(self, flow)
        ahead = (packet.ack - connection.acknowledged) % 2**32
        if 0 < ahead < 2**31:
            connection.acknowledged = packet.ack
        if packet.data and packet.seq == connection.expected:
            connection.expected = (connection.expected + len(packet.data)) % 2**32
            connection.request += packet.data
            while b"\n" in connection.request:
                line, connection.request = connection.request.split(b"\n", 1)
                self.site.on_run(self, flow, line.decode())
                self.spawn(self.work(flow, connection, line))
        if packet.has(FIN) and packet.seq == connection.expected and not connection.closed:
            connection.closed = True
            connection.expected = (connection.expected + 1) % 2**32
            self.send(flow, FIN | ACK, connection.next, connection.expected)
        elif packet.data or packet.has(FIN):
            self.send(flow, ACK, connection.next, connection.expected)

    async def work(self, flow, connection: Connection, line: bytes) -> None:
        """Answer one request after its work, and send the answer until it is acknowledged."""
        await asyncio.sleep(self.site.work_s)
        answer = b"200 " + line.split(b" ")[0] + b" by " + self.identity.encode() + b"\n"
        start = connection.next
        connection.next = (start + len(answer)) % 2**32
        wait_s = 0.2
        for _ in range(8):
            self.send(flow, ACK, start, connection.expected, answer)
            await asyncio.sleep(wait_s)
            if connection.acknowledged != start or flow not in self.connections:
                return
            wait_s = min(1.6, 2 * wait_s)

    def send(self, flow, flags, seq, ack, data=b"") -> None:
        """Send a packet to the client, through the node on this machine."""
        packet = build((flow[2], flow[3]), (flow[0], flow[1]), flags, seq, ack, data)
        self.port.send(packet, self.host.outbound)


class Host:
    """A machine with one process of the system; `side` machines have an endpoint."""

    def __init__(self, site, name, role, ip, zone, service=""):
        self.name, self.role, self.ip, self.zone, self.service = name, role, ip, zone, service
        self.datagram = (ip, site.ports["datagram"])
        self.ready = (ip, site.ports["ready"])
        self.outbound = (ip, site.ports["outbound"])
        self.app = (ip, site.ports["app"])
        self.endpoint: Endpoint | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.misses = 2
        self.is_wanted = True


class Flow:
    """A client's end of one flow."""

    def __init__(self, client, local, target):
        self.client, self.local, self.target = client, local, target
        self.key = (*local, *target)
        self.seq = random.getrandbits(31)
        self.expected: int | None = None
        self.received = b""
        self.state = "new"
        self.resets: list[tuple[float, str, str]] = []
        self.sent: list[tuple[float, str, str]] = []
        self.arrived = asyncio.Event()

    def send(self, flags: int, ack: int, data: bytes = b"") -> None:
        """Send a packet through the router."""
        packet = build(self.local, self.target, flags, self.seq, ack, data)
        node = self.client.site.route(self.key)
        if node is not None:
            self.client.port.send(packet, node.datagram)
        self.sent.append((now(), node.name if node else "none", describe(flags, len(data))))

    def receive(self, packet: Packet, sender) -> None:
        """Take a packet."""
        if packet.has(RST):
            kind = "system" if packet.sum == 0 and not packet.data else "endpoint"
            self.resets.append((now(), kind, sender[0]))
            if self.state == "new":
                self.state = "refused"
            elif (packet.seq - (self.expected or 0) + 76_800) % 2**32 <= 153_600:
                self.state = "reset"
        elif packet.has(SYN):
            if self.expected is None:
                self.expected = (packet.seq + 1) % 2**32
                self.seq = (self.seq + 1) % 2**32
                self.state = "open"
        elif self.expected is not None:
            if packet.data and packet.seq == self.expected:
                self.received += packet.data
                self.expected = (self.expected + len(packet.data)) % 2**32
            if packet.data:
                self.send(ACK, self.expected)
            if packet.has(FIN):
                self.state = "closed"
        self.arrived.set()

    async def wait(self, done, seconds: float) -> bool:
        """Wait until a condition holds."""
        ends = now() + seconds
        while not done() and now() < ends:
            self.arrived.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.001, ends - now())):
                    await self.arrived.wait()
        return done()

    async def open(self) -> str:
        """Open the flow with up to three copies of its SYN; return the outcome."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, copy)
            if await self.wait(lambda: self.state != "new", wait_s):
                break
        if self.state == "open":
            self.send(ACK, self.expected)
        return self.state if self.state != "new" else "no answer"

    async def request(self, text: str, deadline_s: float = 4.0, body_bytes: int = 0) -> str:
        """Send a request and wait for its answer; return the outcome."""
        data = text.encode() + (b" " + b"x" * body_bytes if body_bytes else b"") + b"\n"
        self.received = b""
        ends, wait_s = now() + deadline_s, 0.2
        while now() < ends and self.state == "open":
            self.send_data(data)
            if await self.wait(
                lambda: b"\n" in self.received or self.state != "open",
                min(wait_s, ends - now()),
            ):
                break
            wait_s = min(1.6, 2 * wait_s)
        if b"\n" not in self.received:
            return self.state if self.state != "open" else "no answer"
        self.seq = (self.seq + len(data)) % 2**32
        expected = b"200 " + text.encode() + b" by "
        return "served" if self.received.startswith(expected) else "mixed"

    def send_data(self, data: bytes) -> None:
        """Send all data that is not acknowledged."""
        start = self.seq
        for offset in range(0, len(data), DATA_BYTES):
            self.seq = (start + offset) % 2**32
            self.send(ACK, self.expected, data[offset : offset + DATA_BYTES])
        self.seq = start

    async def close(self) -> None:
        """Close the flow."""
        if self.state == "open":
            self.send(FIN | ACK, self.expected)
            await self.wait(lambda: self.state != "open", 1.0)
        self.client.flows.pop(self.key[:2], None)


class Client:
    """A client address; each flow has a port of its own."""

    def __init__(self, site, ip: str):
        self.site, self.ip = site, ip
        self.flows: dict = {}
        self.next_port = 20_000
        self.port = Udp((ip, site.ports["datagram"]), self.receive)

    def flow(self, target) -> Flow:
        """Return a new flow to a route's address."""
        self.next_port += 1
        flow = Flow(self, (self.ip, self.next_port), target)
        self.flows[flow.local] = flow
        self.site.all_flows.append(flow)
        return flow

    def receive(self, data: bytes, sender) -> None:
        """Pass a packet to its flow."""
        packet = Packet(data)
        flow = self.flows.get((packet.dst, packet.dport))
        if flow is not None:
            flow.receive(packet, sender)


def describe(flags: int, length: int) -> str:
    """Return a packet's flags and length for the record."""
    names = {SYN: "SYN", ACK: "ACK", FIN: "FIN", RST: "RST"}
    return "+".join(name for flag, name in names.items() if flags & flag) + f" {length}"


class Site:
    """The deployment: processes, store, endpoints, routers, and the record of what happened."""

    def __init__(self, folder: Path, edges: int, sides: list[str]):
        self.folder = folder
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = (folder / "record.txt").open("w")
        self.started_at = now()
        self.slots, self.work_s = 4, 0.02
        self.restart_delay_s = RESTART_DELAY_S
        self.cold_s, self.cold_per_s = 2.0, 0.0
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = random.SystemRandom().randrange(20, 250)
        self.store_ip = f"127.{self.net}.9.1"
        self.ports: dict[str, int] = {}
        self.choose_ports()
        self.store = Store()
        self.hosts: list[Host] = []
        for number in range(edges):
            ip = f"127.{self.net}.1.{number + 1}"
            zone = ZONES[number % 3]
            self.hosts.append(Host(self, f"edge-{number + 1}", "edge", ip, zone))
        for number, service in enumerate(sides):
            ip = f"127.{self.net}.2.{number + 1}"
            zone = ZONES[number % 3]
            self.hosts.append(Host(self, f"side-{number + 1}", "side", ip, zone, service))
        self.routes: dict[tuple[str, int], str] = {}
        self.version = 0
        self.bootstrap = True
        self.tasks: set = set()
        self.clients: list[Client] = []
        self.arrivals: list[tuple] = []
        self.runs: dict[str, list] = {}
        self.opened: dict[tuple, tuple] = {}
        self.all_flows: list[Flow] = []
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

    def choose_ports(self) -> None:
        """Find numbers that are free on the store's address; all machines use the same ones."""
        names = ("datagram", "ready", "outbound", "app", "store", "peers")
        for _ in range(50):
            first = random.SystemRandom().randrange(20_000, 31_000, 10)
            self.ports = {name: first + index for index, name in enumerate(names)}
            with suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
                probe.bind((self.store_ip, self.ports["store"]))
                return
        raise OSError("no free port")

    def note(self, *parts) -> None:
        """Write a line to the record."""
        line = " ".join(map(str, parts))
        self.record_file.write(f"{now() - self.started_at:8.3f} {line}\n")

    def edges(self) -> list[Host]:
        """Return the machines that clients reach."""
        return [host for host in self.hosts if host.role == "edge"]

    def sides(self) -> list[Host]:
        """Return the machines with an endpoint."""
        return [host for host in self.hosts if host.role == "side"]

    def host(self, name: str) -> Host:
        """Return a machine by its name."""
        return next(host for host in self.hosts if host.name == name)

    # The platform

    def publish(self) -> float:
        """Write the next configuration; return the time of its acknowledgement."""
        self.version += 3
        routes = [
            {
                "name": f"r-{ip}-{port}",
                "host": ip,
                "prefix": f"/{port}/",
                "service": service,
                "kind": "idempotent",
                "timeoutMs": 4_000,
                "targetLatencyMs": 200,
                "maxAttempts": 2,
                "priority": 1,
            }
            for (ip, port), service in self.routes.items()
        ]
        services = [
            {
                "name": service,
                "healthPath": "/health",
                "maxConns": 2_000,
                "warmupS": self.cold_s,
                "warmupPerS": self.cold_per_s,
            }
            for service in sorted({host.service for host in self.sides()})
        ]
        value = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"idleTimeoutMs": 15_000},
        }
        at = self.store.put("op/config", value)
        self.note("operator: configuration", self.version, "acknowledged")
        return at

    def settings(self, host: Host) -> dict:
        """Return the fields that the platform fills into the settings template."""
        is_side = host.role == "side"
        return {
            "nodeName": host.name,
            "ip": host.ip,
            "zone": host.zone,
            "bootstrap": str(self.bootstrap).lower(),
            "internalPorts": f"{self.ports['peers']},{self.ports['peers'] + 3}",
            "listen.datagramAddr": address(host.datagram),
            "listen.ready": address(host.ready),
            "platform.address": f"{self.store_ip}:{self.ports['store']}",
            "bounds.drainMs": str(DRAIN_MS),
            "bounds.configMs": str(CONFIG_MS),
            "listen.outbound": address(host.outbound) if is_side else "",
            "app": address(host.app) if is_side else "",
            "service": host.service,
            "bounds.flowTtlS": str(FLOW_TTL_S),
            "contracts": "base,drain,config,cost,recover,flows,places,platform",
        }

    def role(self, host: Host) -> dict:
        """Return the deploy file's role of a machine's class."""
        return next(role for role in self.deploy["roles"].values() if role["on"] == host.role)

    async def start_process(self, host: Host) -> None:
        """Start a machine's process as the platform does."""
        fields, role = self.settings(host), self.role(host)
        template = (ROOT / role["template"]).read_text()
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: fields[match[1]], template)
        path = self.temporary / f"{host.name}.ini"
        path.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["HEATHERYOKE_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.temporary / f"{host.name}.log").open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note("platform: started", host.name)
        self.spawn(self.restart_after_end(host, host.process))

    async def restart_after_end(self, host: Host, process) -> None:
        """Restart a process that ends, after a short delay."""
        code = await process.wait()
        self.note("process ended:", host.name, "code", code)
        if host.is_wanted and host.process is process:
            await asyncio.sleep(self.restart_delay_s)
            await self.start_process(host)

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        if host.process.returncode is None:
            host.process.send_signal(number)
        self.note("platform:", number.name, "to", host.name)

    async def probe(self) -> None:
        """Probe the readiness of the edge nodes twice a second."""
        while True:
            await asyncio.gather(*(self.probe_one(host) for host in self.edges()))
            await asyncio.sleep(PROBE_S)

    async def probe_one(self, host: Host) -> None:
        """Probe one node."""
        good = False
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(PROBE_S):
                reader, writer = await asyncio.open_connection(*host.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                good = b" 200 " in await reader.readline()
                writer.close()
        was_in = host.misses < 2
        host.misses = 0 if good else host.misses + 1
        if (host.misses < 2) != was_in:
            self.note("router:", host.name, "in rotation" if good else "out of rotation")

    def route(self, key) -> Host | None:
        """Return the node that the routers choose for a flow's packet."""
        nodes = [host for host in self.edges() if host.misses < 2]
        nodes = nodes if 2 * len(nodes) >= len(self.edges()) else self.edges()
        return nodes[zlib.crc32(repr(key).encode()) % len(nodes)] if nodes else None

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a task and keep a reference to it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def join_edge(self) -> Host:
        """Add a machine that clients reach, start its process, and return it."""
        number = len(self.edges()) + 1
        zone = ZONES[(number - 1) % 3]
        host = Host(self, f"edge-{number}", "edge", f"127.{self.net}.1.{number}", zone)
        self.hosts.append(host)
        await self.start_process(host)
        return host

    async def restart(self, host: Host) -> None:
        """Stop a process as in planned work, and wait until the platform has started it again."""
        former = host.process
        self.signal(host, signal.SIGTERM)
        await former.wait()
        while host.process is former:
            await asyncio.sleep(0.02)

    async def join(self, service: str) -> Host:
        """Add a machine for an endpoint, start its process, and return it."""
        number = len(self.sides()) + 1
        ip, zone = f"127.{self.net}.2.{number}", ZONES[(number - 1) % 3]
        host = Host(self, f"side-{number}", "side", ip, zone, service)
        host.endpoint = Endpoint(self, host, f"i-{random.getrandbits(32):08x}")
        self.hosts.append(host)
        await self.start_process(host)
        return host

    async def start(self) -> None:
        """Start everything and wait until all edge nodes are in rotation."""
        if not (ROOT / "target" / "deps").is_dir():
            raise RuntimeError("target/deps is missing: run the build line of the deploy file")
        await self.store.start((self.store_ip, self.ports["store"]))
        self.publish()
        for host in self.sides():
            host.endpoint = Endpoint(self, host, f"i-{random.getrandbits(32):08x}")
            await host.endpoint.start()
        for host in self.hosts:
            await self.start_process(host)
        self.bootstrap = False
        self.spawn(self.probe())
        ends = now() + 25
        while any(host.misses >= 2 for host in self.edges()):
            if now() > ends:
                raise RuntimeError("the edge nodes did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.note("deployment ready")

    async def close(self) -> None:
        """End every process and stand-in that was started."""
        for host in self.hosts:
            host.is_wanted = False
            if host.process is not None and host.process.returncode is None:
                with suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                await host.process.wait()
        for task in list(self.tasks):
            task.cancel()
        for host in self.sides():
            if host.endpoint is not None and host.endpoint.is_running:
                await host.endpoint.crash()
        for client in self.clients:
            client.port.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        self.record_file.close()

    def write_summary(self) -> None:
        """Record what each client sent and was answered, and what endpoints ran."""
        for flow in self.all_flows:
            times = [f"{at - self.started_at:.3f} {via} {kind}" for at, via, kind in flow.sent]
            resets = [(f"{at - self.started_at:.3f}", kind, by) for at, kind, by in flow.resets]
            self.note("client", *flow.local, "sent", "; ".join(times))
            self.note("client", *flow.local, flow.state, "last answer", flow.received, *resets)
        for line, rows in self.runs.items():
            places = [f"{at - self.started_at:.3f} {by}" for at, by in rows]
            self.note("ran", line.split(" ")[0], "; ".join(places))

    def add_client(self) -> Client:
        """Add a client with an address of its own."""
        number = len(self.clients) + 1
        client = Client(self, f"127.{self.net}.5.{number}")
        self.clients.append(client)
        return client

    # What endpoints saw

    def on_arrival(self, endpoint: Endpoint, flow, packet: Packet, connection) -> None:
        """Record a packet that reached an endpoint."""
        kind = describe(packet.flags, packet.len)
        held = "held" if connection is not None else "not held"
        self.arrivals.append((now(), endpoint, flow, kind, connection is not None))
        if packet.has(SYN) or connection is None:
            self.note(endpoint.host.name, endpoint.identity, "got", kind, "of", flow[1], held)
        if not packet.is_unaltered():
            self.note("ALTERED packet at", endpoint.host.name)

    def on_open(self, endpoint: Endpoint, flow) -> None:
        """Record that a flow is open."""
        self.opened[flow] = (now(), endpoint)

    def on_run(self, endpoint: Endpoint, flow, line: str) -> None:
        """Record that a request has run."""
        self.runs.setdefault(line, []).append((now(), endpoint.identity))


def address(pair) -> str:
    """Return an address as text."""
    return f"{pair[0]}:{pair[1]}"


def run(folder: Path, make_site, scenario) -> int:
    """Run a scenario; return 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def play() -> int:
        site = make_site(folder)
        try:
            await site.start()
            async with asyncio.timeout(100):
                broken = await scenario(site)
            site.write_summary()
            for line in broken:
                site.note("BROKEN:", line)
            site.note("verdict:", "broken" if broken else "held")
            print("\n".join([*broken[:5], "broken" if broken else "held"]))
            return 1 if broken else 0
        finally:
            await site.close()

    try:
        return asyncio.run(play())
    except Exception as error:  # The case could not run, whatever the reason.
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
