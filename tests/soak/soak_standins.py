"""Endpoint stand-ins and a loopback proxy for the soak, on asyncio."""
import asyncio
import json
import random
import time
import zlib

BLOB = random.Random(0).randbytes(2 << 20)
HEARTBEAT_INTERVAL_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 1.0
DRAIN_SECONDS = 2.0
SLOTS = (4, 12)  # by turns
QUEUE = 8
ANSWERS_PER_CONNECTION = 50
SLOW_SECONDS = 2.0
MODE_CHECK_SECONDS = 0.05
ID_HEADER = "x-kingcupslip-request-id"
SIGNATURE_HEADER = "x-kingcupslip-server-signature"


def body_of(key, size):
    """Returns the bytes that belong to this key."""
    start = zlib.crc32(key.encode()) % (len(BLOB) - size)
    return BLOB[start:start + size]


def parse_head(head):
    """Returns the parts of the first line and the fields by lower name."""
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


class Run:
    """One run of a request at an endpoint."""

    def __init__(self, instance, seconds):
        self.instance = instance
        self.started_at = time.monotonic()
        self.ends_at = self.started_at + seconds
        self.late_s = 0  # after the time that an acknowledged drain leaves
        self.fault = ""  # at its end, of the endpoint or its link


class Proxy:
    """Passes bytes on; can delay them, hold them back, or reset."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.mode = ""
        self.delay_s = 0.0
        self.reset_at = 0.0
        self.harmed_until = 0.0
        self.transports = set()

    async def start(self):
        await asyncio.start_server(self.accept, self.host, self.port)

    def set_mode(self, mode, delay_s=0.0):
        self.mode, self.delay_s = mode, delay_s
        self.harmed_until = float("inf") if mode else time.monotonic()
        if mode == "reset":
            self.reset_at = time.monotonic()
            for transport in list(self.transports):
                transport.abort()

    async def accept(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            other_reader, other = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer.transport, other.transport}
        self.transports |= pair
        await asyncio.gather(self.pump(reader, other),
                             self.pump(other_reader, writer))
        self.transports -= pair

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                while self.mode == "silence":
                    await asyncio.sleep(MODE_CHECK_SECONDS)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Endpoint:
    """Runs requests, signs its answers, drains and comes back.

    The path of a request states its run time, the length of its answer and
    the checksum of its body: /ROUTE/MILLISECONDS/LENGTH/CRC/ID.
    """

    def __init__(self, index, name, host, ports, control, runs, report):
        self.name, self.host, self.port, self.control = (name, host, ports[0],
                                                         control)
        self.proxy = Proxy(host, ports[1], (host, ports[0]))
        self.slots = SLOTS[index % len(SLOTS)]
        self.runs = runs  # runs by request id
        self.report = report  # called with (rule, request id, text)
        self.mode = ""
        self.running = 0
        self.answered = 0
        self.writers = set()
        self.life = 0
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.instance = f"i-{self.name}-{self.life}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.drain_acknowledged_at = None

    async def start(self):
        await asyncio.start_server(self.accept, self.host, self.port)
        await self.proxy.start()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = parse_head(
                    await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                if not await self.handle(writer, first[1], fields, body):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, status, fields, body=b""):
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(f"HTTP/1.1 {status} X\r\n{head}Content-Length: "
                     f"{len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    async def handle(self, writer, path, fields, body):
        """Answers; returns whether the connection stays open."""
        if path == "/health":
            return await self.reply(writer, 200, {
                "X-Kingcupslip-Instance-Id": self.instance})
        request_id = fields.get(ID_HEADER, "")
        echo = {"X-Kingcupslip-Request-Id": request_id}
        if fields.get("x-kingcupslip-expected-instance") != self.instance:
            return await self.reply(writer, 421, echo)
        if self.mode == "refuse" or self.running >= self.slots + QUEUE:
            return await self.reply(writer, 503, {
                **echo, "X-Kingcupslip-Not-Executed": "1"})
        _, _, run_ms, size, crc, path_id = path.split("/")
        slow_s = SLOW_SECONDS if self.mode == "slow" else 0
        run = Run(self.instance, int(run_ms) / 1000 + slow_s)
        self.runs.setdefault(request_id, []).append(run)
        if path_id != request_id or int(crc) != zlib.crc32(body):
            self.report("UNASKED", request_id, "another id or body")
        if self.drain_acknowledged_at is not None:
            run.late_s = max(0, run.started_at - DRAIN_SECONDS
                             - self.drain_acknowledged_at)
        self.running += 1
        await asyncio.sleep(run.ends_at - time.monotonic())
        self.running -= 1
        run.ends_at = time.monotonic()
        run.fault = self.mode or self.proxy.mode
        if self.proxy.reset_at > run.started_at:
            run.fault = "reset"
        if self.instance != run.instance:
            run.fault = "ended"
        while self.mode == "silence":
            await asyncio.sleep(MODE_CHECK_SECONDS)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        answer = body_of(request_id, int(size))
        if self.mode == "truncate":
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n"
                         % (len(answer) + 50) + answer)
            await writer.drain()
            return False
        echo["X-Kingcupslip-Server-Signature"] = (
            f"{run.instance}.{request_id}.{len(answer)}.{zlib.crc32(answer)}")
        self.answered += 1
        closes = self.answered % ANSWERS_PER_CONNECTION == 0
        if closes:
            echo["Connection"] = "close"
        await self.reply(writer, 200, echo, answer)
        if self.mode == "repeat":
            await self.reply(writer, 200, {
                **echo, "X-Kingcupslip-Request-Id": "other"}, b"late")
        return not closes

    async def call_control(self, call, body):
        """Returns whether the node acknowledged the call."""
        text = json.dumps(body).encode()
        try:
            reader, writer = await asyncio.open_connection(*self.control)
        except OSError:
            return False
        try:
            writer.write(f"POST /Instances.{call}/{self.instance} HTTP/1.1\r\n"
                         f"Host: node\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode()
                         + text)
            first = await asyncio.wait_for(reader.readline(),
                                           HEARTBEAT_TIMEOUT_SECONDS)
            return first.split(b" ")[1:2] == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def next_heartbeat(self):
        self.sequence += 1
        return {
            "service": "svc", "address": f"{self.host}:{self.proxy.port}",
            "zone": "dc-a", "version": "v1", "slots": self.slots,
            "state": self.state, "cold-remaining-s": 0,
            "sequence": self.sequence, "born": self.born}

    async def send_heartbeat(self):
        return await self.call_control("Heartbeat", self.next_heartbeat())

    async def send_heartbeats(self):
        while True:
            if self.drain_acknowledged_at is None:
                await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def replace(self, extra_s):
        """Drains, ends, and starts as a new instance."""
        if self.state != "ready":
            return
        self.state = "draining"
        if await self.send_heartbeat():
            self.drain_acknowledged_at = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + extra_s)
        await self.call_control("Deregister", {"born": self.born})
        self.end_life()

    async def leave(self, says_goodbye):
        """Says that it leaves, and serves on. Returns a heartbeat that it had
        sent before and that is still under way; null if it leaves already."""
        if self.state != "ready":
            return None
        delayed = self.next_heartbeat()
        self.state = "draining"
        acknowledged = await (
            self.call_control("Deregister", {"born": self.born})
            if says_goodbye else self.send_heartbeat())
        if acknowledged:
            self.drain_acknowledged_at = time.monotonic()
        return delayed

    def end_life(self):
        for writer in list(self.writers):
            writer.transport.abort()
        self.begin_life()
