"""Stand-ins of the review: the platform's store, endpoints, clients, and the
platform's part of starting, killing and restarting nodes.

They speak what PROTOCOL.md and DEPLOY.md say and share one event loop. The
nodes are the project's own program, started by the command of the deploy file
with settings made from its template.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 20_000, 29_999
PORTS_PER_RUN = 100  # runs side by side begin at different multiples of it
HEARTBEAT_SECONDS = 1.5  # heartbeat-s
CHECK_IN_TIMEOUT_SECONDS = 1.0
RESTART_DELAY_SECONDS = 0.5
THINK_SECONDS = 0.1  # of a client, between two requests
FAILURE_PAUSE_SECONDS = 0.5  # where it isn't told when to come back
CLOSE_SECONDS = 0.2  # for connections to end
READY_TIMEOUT_SECONDS = 20
DESCRIPTORS = 4100  # limits.file-descriptors
BOUNDS = {"grace-period-s": 6, "budget-ratio": 0.2, "budget-slack": 48}
COLD_SLOWDOWN = 2  # times as long while an endpoint is cold
TOUCH_SECONDS = 3.0  # touch-s
DRAIN_SECONDS = 2.0  # drain-s
NOT_EXECUTED = "X-Kingcupslip-Not-Executed"
REQUEST_ID = "X-Kingcupslip-Request-Id"
SIGNATURE = "X-Kingcupslip-Server-Signature"
HTTP_HOST = "h.example"
API_KEY = "key-one"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")


_next_port = random.randrange(FIRST_PORT, LAST_PORT, PORTS_PER_RUN)


def free_ports(count):
    """Returns ports of this run that nobody listens on."""
    global _next_port
    ports = []
    while len(ports) < count:
        _next_port = (_next_port + 1 if _next_port < LAST_PORT
                      else FIRST_PORT)
        with socket.socket() as s:
            try:
                s.bind((HOST, _next_port))
            except OSError:
                continue
        ports.append(_next_port)
    return ports


async def read_head(reader):
    """Returns the first line and the fields by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(first, fields, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()),
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """Accepts connections and passes each request to `handle`."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.silent = False

    async def listen(self, port):
        self.server = await asyncio.start_server(self.accept, HOST, port,
                                                 backlog=512)

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                while self.silent:
                    await asyncio.sleep(1)
                answer = await self.handle(method, target, fields, body)
                while self.silent:
                    await asyncio.sleep(1)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fall_silent(self):
        """Answers nothing more, as a machine without power; nobody is told.

        The address is free for another listener.
        """
        self.server.close()
        self.silent = True

    def reset_connections(self):
        """Resets what is open, as a machine does that knows nothing of it."""
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def end(self):
        """Ends as a process does: no listener, no connections."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: versioned rows, transactions and a feed."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()

    def set_row(self, name, value):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "record-version": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["tombstone"] = True
        else:
            row["value"] = value
            self.rows[name] = row
        self.changes.append(row)

    async def put(self, table, key, value):
        """Writes a row as the operator does."""
        async with self.changed:
            self.version += 1
            self.set_row((table, "", key),
                         base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    async def handle(self, method, target, fields, body):
        path, _, text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in text.split("&"))
        query = {k: unquote(v) for k, v in query.items()}
        if path == "/rows-tx":
            status, out = await self.commit(json.loads(body))
        elif path == "/rows-get":
            status, out = 200, self.read(query)
        elif path == "/rows-feed":
            status, out = 200, await self.feed(query)
        else:
            status, out = 404, {}
        out["now-s"] = time.monotonic()
        return message(f"HTTP/1.1 {status} X",
                       {"Content-Type": "application/json"},
                       json.dumps(out).encode())

    async def commit(self, body):
        async with self.changed:
            expected = [(tuple(e[n] for n in ("table", "part", "key")), e)
                        for e in body["expect"]]
            for name, e in expected:
                row = self.rows.get(name)
                if (row["record-version"] if row else 0) \
                        != e["record-version"]:
                    return 412, {"rows": [self.rows[n] for n, _ in expected
                                          if n in self.rows]}
            self.version += 1
            for e in body["puts"]:
                self.set_row((e["table"], e["part"], e["key"]), e["value"])
            for e in body["remove"]:
                self.set_row((e["table"], e["part"], e["key"]), None)
            self.changed.notify_all()
            return 200, {"record-version": self.version}

    def read(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self.rows[n] for n in sorted(self.rows)
                if n[0] == query["table"] and n[1] == query.get("part", "")
                and n[2] >= query.get("from", "")
                and ("target" not in query or n[2] < query["target"])]
        return {"rows": rows[:limit], "has-more": len(rows) > limit,
                "record-version": self.version}

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [r for r in self.changes if r["table"] == query["table"]
                    and r["record-version"] > after]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "record-version": self.version}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def unquote(text):
    out = bytearray()
    i = 0
    while i < len(text):
        if text[i] == "%":
            out.append(int(text[i + 1:i + 3], 16))
            i += 3
        else:
            out += text[i].encode()
            i += 1
    return out.decode()


class Run:
    """A request that an endpoint began to work on."""

    def __init__(self, path, fields, at):
        self.id = fields[REQUEST_ID.lower()]
        self.expected_instance = fields.get(
            "x-kingcupslip-expected-instance")
        self.path = path
        self.caller_service = fields.get("x-kingcupslip-caller-service")
        self.at = at
        self.cold = False  # whether the endpoint was cold when it arrived
        self.ended_at = None  # when the endpoint had its answer

    @property
    def ended(self):
        return self.ended_at is not None


class Endpoint(HttpServer):
    """Runs requests for `work_s` in `slots` slots and checks in."""

    def __init__(self, name, service, port, control, record, zone="dc-a",
                 slots=50, work_s=0.05):
        super().__init__()
        self.name, self.service = name, service
        self.port, self.control = port, control
        self.record = record
        self.zone = zone
        self.slots, self.work_s = slots, work_s  # work_s may be a function
        self.checks_in = True
        self.runs = []
        self.life = 0
        self.begin_life()

    @property
    def cold_remaining_s(self):
        return max(0.0, self.cold_until - time.monotonic())

    def begin_life(self):
        self.life += 1
        self.instance = f"i-{self.name}-{self.life}"
        self.running = 0
        self.cold_until = 0.0
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def handle(self, method, target, fields, body):
        if target == "/health":
            return message("HTTP/1.1 200 OK", {
                "X-Kingcupslip-Instance-Id": self.instance,
                "X-Kingcupslip-Cold-Milliseconds":
                    int(self.cold_remaining_s * 1000)})
        echo = {REQUEST_ID: fields.get(REQUEST_ID.lower(), "")}
        if fields.get("x-kingcupslip-expected-instance") != self.instance:
            return message("HTTP/1.1 421 X", {**echo, NOT_EXECUTED: "1"})
        if self.running >= self.slots:
            return message("HTTP/1.1 503 X", {**echo, NOT_EXECUTED: "1"})
        run = Run(target, fields, time.monotonic())
        run.cold = self.cold_remaining_s > 0
        life = self.life
        self.runs.append(run)
        self.record(f"run {self.name} {run.id} caller-service="
                    f"{run.caller_service} bytes={len(body)}")
        self.running += 1
        work_s = (self.work_s(target) if callable(self.work_s)
                  else self.work_s)
        await asyncio.sleep(work_s * (COLD_SLOWDOWN if run.cold else 1))
        if self.life != life:
            raise ConnectionResetError("the endpoint has ended meanwhile")
        self.running -= 1
        run.ended_at = time.monotonic()
        return message("HTTP/1.1 200 OK", {
            **echo, SIGNATURE: f"{self.instance}.{run.id}"},
            b"ran " + run.id.encode())

    def next_check_in(self, **changed):
        self.sequence += 1
        return {"service": self.service, "address": f"{HOST}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "cold-remaining-s": self.cold_remaining_s,
                "sequence": self.sequence, "born": self.born, **changed}

    async def check_in(self):
        return await call_control(self.control, "Heartbeat", self.instance,
                                  self.next_check_in())

    async def deregister(self):
        """Says goodbye until that is acknowledged; returns when it was."""
        self.checks_in = False
        while not await call_control(self.control, "Deregister",
                                     self.instance, {"born": self.born}):
            await asyncio.sleep(0.2)
        return time.monotonic()

    async def check_in_regularly(self):
        while True:
            if self.checks_in:
                await self.check_in()
            await asyncio.sleep(HEARTBEAT_SECONDS)


async def call_control(port, call, instance, body):
    """Returns whether the node acknowledged the call in time."""
    text = json.dumps(body).encode()
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        writer.write(message(f"POST /Instances.{call}/{instance} HTTP/1.1",
                             {"Host": "node",
                              "Content-Type": "application/json"}, text))
        first, _ = await asyncio.wait_for(read_head(reader),
                                          CHECK_IN_TIMEOUT_SECONDS)
        return first.split(" ")[1] == "200"
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


def deploy_file():
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["node"]


def render(template, values):
    """Fills in the placeholders of a template as DEPLOY.md says."""
    for name, value in values.items():
        template = template.replace("{{" + name + "}}", str(value))
    if "{{" in template:
        raise CannotRun("a placeholder without a value: " + template)
    return template


class Node:
    """A node's process, as the platform starts and restarts it."""

    def __init__(self, name, service, store_port, record, directory,
                 zone="dc-a", **endpoint):
        self.name, self.record = name, record
        (self.callers, self.ready, control, inbound, target, peers,
         metrics) = free_ports(7)
        self.endpoint = Endpoint(name, service, target, control, record,
                                 zone=zone, **endpoint)
        self.control = control
        role = deploy_file()
        self.template = (ROOT / role["template"]).read_text()
        self.settings = pathlib.Path(directory) / f"{name}.conf"
        self.values = {
            "node-name": name, "zone": zone, "service": service,
            "application-address": f"{HOST}:{target}",
            "listen-addresses.outbound": f"{HOST}:{self.callers}",
            "listen-addresses.inbound": f"{HOST}:{inbound}",
            "listen-addresses.ready": f"{HOST}:{self.ready}",
            "listen-addresses.control": f"{HOST}:{control}",
            "ip-address": HOST, "internal-port-range.0": peers,
            "internal-port-range.1": metrics,
            "platform.address": f"{HOST}:{store_port}",
            "heartbeat-s": HEARTBEAT_SECONDS,
            "limits.file-descriptors": DESCRIPTORS,
            **{f"bounds.{k}": v for k, v in BOUNDS.items()}}
        self.write_settings()
        self.command = role["run"].split(" ")
        self.log = open(pathlib.Path(directory) / f"{name}.log", "ab")
        self.process = None
        self.started_at = None

    def write_settings(self):
        new = self.settings.with_suffix(".new")
        new.write_text(render(self.template, self.values))
        new.replace(self.settings)

    def change_service(self, service):
        """The machine's endpoint has another service from now on."""
        self.values["service"] = service
        self.write_settings()
        self.process.send_signal(signal.SIGHUP)
        self.record(f"settings of {self.name}: service {service}, SIGHUP")

    def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CannotRun(f"no {self.command[0]}: run the build first")
        self.process = subprocess.Popen(
            [str(program), *self.command[1:]], cwd=ROOT, stdout=self.log,
            stderr=self.log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"],
                 "KINGCUPSLIP_CONFIG": str(self.settings)})
        self.started_at = time.monotonic()
        self.record(f"started {self.name}")

    def kill(self, why):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record(f"killed {self.name}: {why}")

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)
        self.record(f"SIGTERM to {self.name}")
        return time.monotonic()

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(message("GET /readiness HTTP/1.1", {"Host": "n"}))
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return first.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False


class Fleet:
    """The store and the nodes with their endpoints."""

    def __init__(self, record):
        self.record = record
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store_port, = free_ports(1)
        self.nodes = []
        self.tasks = []

    def add(self, name, service, **more):
        node = Node(name, service, self.store_port, self.record,
                    self.directory.name, **more)
        self.nodes.append(node)
        return node

    async def start(self, config):
        await self.store.listen(self.store_port)
        await self.store.put("op", "config", config)
        for node in self.nodes:
            await node.endpoint.listen(node.endpoint.port)
            node.start()
            self.spawn(node.endpoint.check_in_regularly())
        await self.wait_ready()

    async def wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f"{node.name} is not ready, its exit "
                                    f"status is {node.process.poll()}")
                await asyncio.sleep(0.05)

    def spawn(self, work):
        self.tasks.append(asyncio.get_running_loop().create_task(work))
        return self.tasks[-1]

    async def stop(self):
        for node in self.nodes:
            node.stop()
        running = set(self.tasks)
        while running:
            # Again, as `wait_for` may lose a cancellation.
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=0.1)
        for node in self.nodes:
            node.endpoint.end()
        self.store.end()
        for client in Client.clients:
            client.close()
        await asyncio.sleep(CLOSE_SECONDS)
        self.directory.cleanup()


def config(version, routes, services, tenants=True):
    """A desired state with one tenant, or none; routes: name, kind, service."""
    resources = [{"resource-kind": "routes", "metadata": {"name": name},
                  "spec": {"host": HTTP_HOST, "prefix": f"/{name}/",
                           "kind": kind, "timeout-s": 6,
                           "target-latency-s": 1.2, "priority": 1,
                           "service": service, "max-attempts": 2,
                           "public": False}}
                 for name, kind, service in routes]
    resources += [{"resource-kind": "services", "metadata": {"name": name},
                   "spec": {"health-path": "/health", "max-connections": 1162,
                            "protocol": "h1", "tls": False,
                            "cold-start-s": 3.0, "cold-per-s": 44.0}}
                  for name in services]
    if tenants:
        resources.append({"resource-kind": "tenants",
                          "metadata": {"name": "tenant-a"},
                          "spec": {"keys": [API_KEY], "priority": 1,
                                   "rate-per-s": 2000, "burst": 2000}})
    resources.append({"resource-kind": "limits", "metadata": {}, "spec": {
        "max-header-bytes": 16384, "max-body-bytes": 67108864,
        "header-timeout-s": 3, "idle-timeout-s": 15}})
    return {"version": version, "resources": resources}


class Answer:
    """What a client saw of a request."""

    def __init__(self, request_id, node, path, sent_at, kept):
        self.id = request_id
        self.node, self.path = node, path
        self.sent_at = sent_at
        self.kept = kept  # sent on a connection that had carried another one
        self.status = None  # None: the connection ended without an answer
        self.signed = False
        self.retry_after_s = None
        self.ended_at = None


class Client:
    """Sends one request after the other on a kept connection."""

    last_number = 0
    clients = []

    def __init__(self, node, record, timeout_s=5, api_key=API_KEY):
        Client.clients.append(self)
        self.node, self.record, self.timeout_s = node, record, timeout_s
        self.api_key = api_key
        self.connection = None

    async def send(self, path, body=b"", method="POST"):
        Client.last_number += 1
        request_id = f"q{Client.last_number}"
        kept = self.connection is not None
        answer = Answer(request_id, self.node, path, time.monotonic(), kept)
        try:
            if not kept:
                self.connection = await asyncio.wait_for(
                    asyncio.open_connection(HOST, self.node.callers), 1)
            reader, writer = self.connection
            self.record(f"sent {request_id} {method} {path} at "
                        f"{self.node.name} bytes={len(body)} "
                        f"{'kept' if kept else 'new'} connection")
            writer.write(message(f"{method} {path} HTTP/1.1", {
                "Host": HTTP_HOST, REQUEST_ID: request_id,
                "X-Kingcupslip-Request-Deadline": self.timeout_s * 1000,
                **({"X-Api-Key": self.api_key} if self.api_key else {})},
                body))
            await asyncio.wait_for(writer.drain(), self.timeout_s)
            first, fields = await asyncio.wait_for(read_head(reader),
                                                   self.timeout_s + 1)
            await read_body(reader, fields)
            answer.status = int(first.split(" ")[1])
            answer.signed = SIGNATURE.lower() in fields
            if "retry-after" in fields:
                answer.retry_after_s = float(fields["retry-after"])
            if fields.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
        answer.ended_at = time.monotonic()
        self.record(f"answered {request_id} {answer.status} "
                    f"{'signed' if answer.signed else 'unsigned'}")
        return answer

    async def send_regularly(self, path, answers, method="POST"):
        """Sends one request after the other, and waits when it is told to."""
        while True:
            answer = await self.send(path, b"body", method)
            answers.append(answer)
            pause_s = THINK_SECONDS
            if answer.status != 200:
                pause_s = answer.retry_after_s or FAILURE_PAUSE_SECONDS
            await asyncio.sleep(pause_s)

    def close(self):
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None


def main(script, play):
    """Runs a case; `play(record, trouble)` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(script).resolve().parent / "record.txt")
    record(f"trouble: {'yes' if trouble else 'no'}")
    # So that the nodes are ended even if the script is.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except (Exception, KeyboardInterrupt) as e:  # whatever it is, the rule was not tried
        record(f"could not run: {e!r}")
        print(f"could not run: {e!r}")
        return 2
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
