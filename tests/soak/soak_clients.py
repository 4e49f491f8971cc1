"""Clients of the soak, which send requests on kept connections."""
import asyncio
import random
import socket
import time
import zlib

from soak_standins import BLOB, ID_HEADER, SIGNATURE_HEADER, body_of, \
    parse_head

DEADLINE_SECONDS = 10
PATIENCE_SECONDS = DEADLINE_SECONDS + 3
RECONNECT_SECONDS = 0.1
SMALL_RECEIVE_BUFFER_BYTES = 1 << 14
SERVER_REQUEST_TIMEOUT_SECONDS = 10
SERVER_IDLE_TIMEOUT_SECONDS = 60
PROMISED_NOT_RUN = (408, 421, 429, 503)


class Request:
    """What a client saw of a request."""

    def __init__(self, request_id, idempotent):
        self.id = request_id
        self.idempotent = idempotent
        self.behind = False  # another one that was not answered yet
        self.sent_at = time.monotonic()
        self.all_sent_at = None
        self.status = None
        self.signed = False
        self.ended_at = None
        self.gave_up = False
        self.received_bytes = 0
        self.expected_bytes = None
        self.answer_began_at = None


class Connection(asyncio.Protocol):
    """A client's connection; keeps what was received before its end."""

    def __init__(self, pause_s):
        self.pause_s = pause_s  # after each piece that is read
        self.buffer = bytearray()
        self.first_byte_at = None
        self.closed_at = None
        self.changed = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def closed(self):
        return self.closed_at is not None

    def connection_made(self, transport):
        self.transport = transport
        transport.set_write_buffer_limits(high=0)

    def data_received(self, data):
        self.buffer += data
        self.first_byte_at = self.first_byte_at or time.monotonic()
        self.changed.set()
        if self.pause_s:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(self.pause_s, self.resume)

    def resume(self):
        if not self.closed:
            self.transport.resume_reading()

    def connection_lost(self, _):
        self.closed_at = time.monotonic()
        self.changed.set()
        self.writable.set()

    def pause_writing(self):
        self.writable.clear()

    def resume_writing(self):
        self.writable.set()

    async def write(self, data):
        """Returns whether the kernel has taken all bytes."""
        if not self.closed:
            self.transport.write(data)
            await self.writable.wait()
        return not self.closed

    async def wait(self, complete, deadline):
        """Waits; returns False if the connection ended before."""
        while not complete():
            if self.closed:
                return False
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(),
                                   deadline - time.monotonic())
        return True


class Client:
    """Sends request after request on its connection until it is closed."""

    def __init__(self, soak, node, name, kind, think_scale):
        self.soak, self.node, self.name, self.kind = soak, node, name, kind
        self.think_scale = think_scale
        self.random = random.Random(f"{soak.seed}/{name}")
        self.count = 0

    async def run(self):
        while not self.soak.ending:
            try:
                connection = await self.connect()
            except OSError:
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            send = (self.send_pipeline if self.kind == "pipeline"
                    else self.send)
            while not self.soak.ending and not connection.closed:
                await send(connection)
                await asyncio.sleep(self.think_time())
            connection.transport.abort()

    def think_time(self):
        if self.kind == "edge" and self.count % 2 == 0:
            return SERVER_IDLE_TIMEOUT_SECONDS + self.random.uniform(-.01, .01)
        return self.think_scale * self.random.choice(
            (0, 0, 0, 0.01, 0.1, self.random.random(), 1.3))

    async def connect(self):
        pause_s = self.random.choice((0.02, 0.06)) if (
            self.kind == "slow") else 0
        s = socket.socket()
        if pause_s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                         SMALL_RECEIVE_BUFFER_BYTES)
        s.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.sock_connect(s, (self.soak.host, self.node.callers)), 5)
        except (OSError, asyncio.TimeoutError) as e:
            s.close()
            raise OSError from e
        return (await loop.create_connection(lambda: Connection(pause_s),
                                             sock=s))[1]

    def next_request(self):
        """Returns a request, its head and the pieces of its body."""
        choose = self.random
        self.count += 1
        idempotent = choose.random() < 0.5 or self.kind == "pipeline"
        r = Request(f"s{self.soak.seed}-{self.name}-{self.count}", idempotent)
        run_ms = choose.choice((1, 1, 5, 20, 20, 50, 100, 300))
        if self.kind == "long":
            run_ms = choose.choice((500, 1500, 3000, 5000, 7000))
        sizes = (0, 10, 100, 1000, 5000, 60_000)
        large = 1_000_000 if choose.random() < 0.5 else 300_000
        size, answer_size = choose.choice(sizes), choose.choice(sizes)
        if self.kind in ("large", "slow"):
            size, answer_size = choose.choice(((large, 100), (100, large),
                                               (large, large)))
        body = BLOB[:size]
        route = "safe" if idempotent else "once"
        head = (f"POST /{route}/{run_ms}/{answer_size}/{zlib.crc32(body)}/"
                f"{r.id} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Api-Key: key-one\r\nX-Kingcupslip-Request-Id: {r.id}\r\n"
                f"X-Kingcupslip-Request-Deadline: {DEADLINE_SECONDS}000\r\n")
        if choose.random() < 0.2:
            head += "Transfer-Encoding: chunked\r\n\r\n"
            chunk = b"%x\r\n%b\r\n" % (size, body) if size else b""
            return r, head.encode(), chunk + b"0\r\n\r\n"
        head += f"Content-Length: {size}\r\n\r\n"
        return r, head.encode(), body

    async def send(self, connection):
        """Sends a request and records what becomes of it."""
        r, head, body = self.next_request()
        self.node.requests.append(r)
        if connection.buffer:
            self.soak.report("MIXED", r.id, "bytes before this request")
        connection.buffer.clear()
        connection.first_byte_at = None
        if self.kind == "edge" and len(body) > 1 and self.count % 2:
            await connection.write(head + body[:-1])
            await asyncio.sleep(SERVER_REQUEST_TIMEOUT_SECONDS
                                + self.random.uniform(-.01, .01))
            head, body = b"", body[-1:]
        sent = await connection.write(head + body)
        r.all_sent_at = time.monotonic() if sent else None
        await self.await_answer(r, connection)

    async def send_pipeline(self, connection):
        """Sends requests before the first is answered; the answers come in
        their order."""
        batch = [self.next_request() for _ in range(self.random.randint(2, 6))]
        if connection.buffer:
            self.soak.report("MIXED", batch[0][0].id,
                             "bytes before this request")
        connection.buffer.clear()
        connection.first_byte_at = None
        for i, (r, _, _) in enumerate(batch):
            r.behind = i > 0
            self.node.requests.append(r)
        sent = await connection.write(b"".join(h + b for _, h, b in batch))
        sent_at = time.monotonic() if sent else None
        for r, _, _ in batch:
            r.all_sent_at = sent_at
        for r, _, _ in batch:
            await self.await_answer(r, connection)

    async def await_answer(self, r, connection):
        """Reads an answer, or records why there is none."""
        try:
            await self.read_answer(r, connection)
        except asyncio.TimeoutError:
            r.gave_up = True
            r.answer_began_at = connection.first_byte_at
            connection.transport.abort()
        r.ended_at = time.monotonic()
        if r.status is None and connection.closed and not r.gave_up:
            r.ended_at = connection.closed_at

    async def read_answer(self, r, connection):
        buffer = connection.buffer
        deadline = time.monotonic() + PATIENCE_SECONDS
        complete = await connection.wait(lambda: b"\r\n\r\n" in buffer,
                                         deadline)
        r.answer_began_at = connection.first_byte_at
        if not complete:
            return
        end = buffer.index(b"\r\n\r\n") + 4
        first, fields = parse_head(bytes(buffer[:end]))
        r.expected_bytes = int(fields.get("content-length", -1))
        if not first[0].startswith("HTTP/1.") or r.expected_bytes < 0:
            self.soak.report("MIXED", r.id, f"no answer: {first}")
            connection.transport.abort()
            return
        complete = await connection.wait(
            lambda: len(buffer) >= end + r.expected_bytes, deadline)
        r.received_bytes = len(buffer) - end
        if not complete:
            return
        body = bytes(buffer[end:end + r.expected_bytes])
        del buffer[:end + r.expected_bytes]
        r.status = int(first[1])
        self.check_answer(r, fields, body)
        if fields.get("connection", "").lower() == "close":
            await connection.wait(lambda: False, time.monotonic() + 5)

    def check_answer(self, r, fields, body):
        if fields.get(ID_HEADER, r.id) != r.id:
            self.soak.report("MIXED", r.id, "answer with another id")
        signature = fields.get(SIGNATURE_HEADER)
        r.signed = signature is not None
        if r.status // 100 == 2 or r.signed:
            _, _, signed = (signature or "..").partition(".")
            expected = body_of(r.id, len(body))
            whole = f"{r.id}.{len(body)}.{zlib.crc32(expected)}"
            if signed != whole or body != expected or r.status != 200:
                self.soak.report("MIXED", r.id, f"{r.status}, signature "
                                 f"{signature}, {len(body)} bytes")
