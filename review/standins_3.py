"""Stand-ins and helpers of the scripts in review/11 to review/15.

A script starts the program of deploy/system.toml, one process for each node,
with settings made from the deploy file's template. The store, the endpoints
and the clients are here; they do what the users' pages say.
"""
import base64
import http.server
import json
import os
import pathlib
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Below the usual range of ephemeral ports, so that no outgoing connection
# takes a port between its choice and its use.
FIRST_PORT, LAST_PORT = 12_000, 29_000
PORTS_PER_NODE = 6
START_TIMEOUT_S = 30
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
BOUNDS = {"grace-period-s": "6", "budget-ratio": "0.2", "budget-slack": "48"}
ID = "x-kingcupslip-request-id"
EXPECTED = "x-kingcupslip-expected-instance"

_next_port = FIRST_PORT + os.getpid() * 61 % (LAST_PORT - FIRST_PORT - 1000)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_ports(count):
    """Returns consecutive ports that nobody listens on."""
    global _next_port
    while True:
        first = _next_port
        _next_port += count
        if _next_port >= LAST_PORT:
            _next_port = FIRST_PORT
            continue
        sockets = []
        try:
            for port in range(first, first + count):
                s = socket.socket()
                sockets.append(s)
                s.bind((HOST, port))
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
        return list(range(first, first + count))


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text):
        with self.lock:
            at_s = time.monotonic() - self.started_at
            self.file.write(f"{at_s:8.3f}  {text}\n")
            self.file.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Store:
    """The platform's metadata store: rows, transactions and a feed."""

    ANSWER_S = 0.004

    def __init__(self):
        self.port = free_ports(1)[0]
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                body = self.rfile.read(int(self.headers.get("Content-Length",
                                                            0)))
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query,
                                                    keep_blank_values=True))
                time.sleep(Store.ANSWER_S)
                status, out = store.answer(url.path, query, body)
                text = json.dumps(out).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            do_POST = do_GET

        server = Server((HOST, self.port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def put(self, table, key, value):
        """Writes a row as the operator does."""
        self.put_all(table, {key: value})

    def put_all(self, table, values):
        """Writes rows in one transaction, as the operator does."""
        with self.changed:
            self.version += 1
            for key, value in values.items():
                text = json.dumps(value).encode()
                self.set_row((table, "", key),
                             base64.b64encode(text).decode())
            self.changed.notify_all()

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

    def answer(self, path, query, body):
        if path == "/rows-tx":
            status, out = self.commit(json.loads(body))
        elif path == "/rows-get":
            status, out = self.read(query)
        elif path == "/rows-feed":
            status, out = self.feed(query)
        else:
            status, out = 404, {}
        return status, {**out, "now-s": time.monotonic()}

    def commit(self, t):
        def name(entry):
            return entry["table"], entry["part"], entry["key"]
        with self.changed:
            for e in t["expect"]:
                now = self.rows.get(name(e), {}).get("record-version", 0)
                if now != e["record-version"]:
                    found = [self.rows[name(x)] for x in t["expect"]
                             if name(x) in self.rows]
                    return 412, {"rows": found, "record-version": self.version}
            if any(e["table"] in ("op", "servers")
                   for e in t["puts"] + t["remove"]):
                return 403, {}
            self.version += 1
            for e in t["puts"]:
                self.set_row(name(e), e["value"])
            for e in t["remove"]:
                self.set_row(name(e), None)
            self.changed.notify_all()
            return 200, {"record-version": self.version}

    def read(self, query):
        with self.changed:
            limit = min(int(query.get("limit", 500)), 500)
            rows = [self.rows[n] for n in sorted(self.rows)
                    if n[:2] == (query["table"], query.get("part", ""))
                    and n[2] >= query.get("from", "")
                    and ("target" not in query or n[2] < query["target"])]
            return 200, {"rows": rows[:limit], "has-more": len(rows) > limit,
                         "record-version": self.version}

    def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                rows = [r for r in self.changes if r["table"] == query["table"]
                        and r["record-version"] > after]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "record-version": self.version}
                self.changed.wait(left)


def read_head(stream):
    """Returns the first line and the fields by lower name; None at the end."""
    line = stream.readline()
    if not line:
        return None
    first, fields = line.decode("latin-1").strip(), {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            return first, fields
        key, _, value = line.decode("latin-1").partition(":")
        fields[key.strip().lower()] = value.strip()


def read_body(stream, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        out = b""
        while True:
            n = int(stream.readline().split(b";")[0], 16)
            out += stream.read(n)
            stream.readline()
            if n == 0:
                return out
    return stream.read(int(fields.get("content-length", 0)))


class Endpoint:
    """An application endpoint: runs requests, signs its answers, checks in."""

    def __init__(self, service, port, control, record, work_s=0.1, slots=50,
                 keep_alive_s=10, answer_bytes=5000, zone="zone-a"):
        self.service, self.port, self.control = service, port, control
        self.zone = zone
        self.record = record
        self.work_s, self.slots = work_s, slots
        self.keep_alive_s, self.answer_bytes = keep_alive_s, answer_bytes
        self.instance = f"i-{port}"
        self.born = int(time.time() * 1000)
        self.sequence, self.state = 0, "ready"
        self.acknowledged_at = {}  # by state
        self.runs = []  # (monotonic time, id, method, path, body)
        self.lock = threading.Lock()
        self.connections = set()
        self.ended = False
        self.paused = False  # sends no check-ins by itself
        self.deadly_path = None  # a request for it crashes the endpoint
        self.on_crash = None  # called after such a crash
        self.may_accept = threading.Event()
        self.may_accept.set()
        self.listen()

    def listen(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(128)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        listener = self.listener
        while not self.ended and listener is self.listener:
            self.may_accept.wait()
            try:
                if not select.select([listener], [], [], 0.05)[0]:
                    continue
                if not self.may_accept.is_set():
                    continue
                connection = listener.accept()[0]
            except (OSError, ValueError):  # closed meanwhile
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def fill_queue_of_new_connections(self):
        """Takes no new connection until `take_connections`; the queue is
        filled by connections that other callers have opened."""
        self.may_accept.clear()
        time.sleep(0.1)
        self.listener.listen(0)
        self.others = []
        for _ in range(8):
            s = socket.socket()
            s.setblocking(False)
            s.connect_ex((HOST, self.port))
            if not select.select([], [s], [], 0.2)[1]:
                s.close()
                self.record.write(f"{self.instance}: queue of new connections "
                                  f"is full ({len(self.others)} wait)")
                return
            self.others.append(s)
        raise CannotRun("the queue of new connections does not fill")

    def take_connections(self):
        self.listener.listen(128)
        for s in self.others:
            s.close()
        self.may_accept.set()
        self.record.write(f"{self.instance}: takes new connections again")

    def leave(self):
        text = json.dumps({"born": self.born})
        status = self.tell(f"/Instances.Deregister/{self.instance}", text)
        self.record.write(f"{self.instance}: goodbye, answered {status}")
        return status

    def crash(self):
        """Ends without a word; `start_again` begins another lifetime."""
        self.end()

    def start_again(self, instance=None):
        """Starts under the id that it had, or another one."""
        self.instance = instance or self.instance
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.ended = 0, "ready", False
        self.listen()
        self.record.write(f"{self.instance}: has started again")

    def end(self):
        """Ends as a process does: its connections are closed."""
        self.ended = True
        self.listener.close()
        with self.lock:
            for it in self.connections:
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        self.record.write(f"{self.instance}: has ended")

    def serve(self, connection):
        with self.lock:
            self.connections.add(connection)
        connection.settimeout(self.keep_alive_s)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                first, fields = head
                body = read_body(stream, fields)
                connection.sendall(self.answer(first, fields, body))
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            stream.close()
            connection.close()

    def answer(self, first, fields, body):
        method, path = first.split(" ")[:2]
        request_id = fields.get(ID, "")
        echo = f"X-Kingcupslip-Request-Id: {request_id}\r\n"
        if fields.get(EXPECTED, self.instance) != self.instance:
            self.record.write(f"{self.instance}: 421 to {request_id}")
            return self.encode("421 Misdirected Request", b"", echo)
        if not request_id:
            return self.encode("400 Bad Request", b"",
                               "X-Kingcupslip-Not-Executed: 1\r\n")
        with self.lock:
            self.runs.append((time.monotonic(), request_id, method, path,
                              body))
        self.record.write(f"{self.instance}: runs {request_id} {method} {path}"
                          f" ({len(body)} bytes)")
        if path == self.deadly_path:
            self.crash()
            threading.Thread(target=self.on_crash, daemon=True).start()
            raise OSError("crashed")
        time.sleep(self.work_s)
        out = (request_id.encode() + b" ") * self.answer_bytes
        return self.encode("200 OK", out[:self.answer_bytes], echo
                           + "X-Kingcupslip-Server-Signature: signed\r\n")

    def encode(self, status, body, fields):
        seconds = int(self.keep_alive_s)
        return (f"HTTP/1.1 {status}\r\n{fields}"
                f"Keep-Alive: timeout={seconds}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def next_check_in(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{HOST}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold-remaining-s": 0,
            "sequence": self.sequence, "born": self.born})

    def send_check_in(self, text):
        return self.tell(f"/Instances.Heartbeat/{self.instance}", text)

    def check_in(self):
        status = self.send_check_in(self.next_check_in())
        if status == 200:
            self.acknowledged_at.setdefault(self.state, time.monotonic())
        if self.state != "ready":
            self.record.write(f"{self.instance}: check-in {self.state}, "
                              f"answered {status}")
        return status

    def tell(self, path, text):
        try:
            return exchange(self.control, "POST", path, text.encode(),
                            timeout=1.0)[0]
        except OSError:
            return 0

    def keep_checking_in(self):
        def loop():
            while not self.ended:
                if not self.paused:
                    self.check_in()
                time.sleep(HEARTBEAT_S)
        threading.Thread(target=loop, daemon=True).start()


def exchange(port, method, path, body=b"", fields=(), timeout=10.0):
    """Sends a request on a new connection; returns status, fields, body."""
    with socket.create_connection((HOST, port), timeout) as s:
        lines = "".join(f"{k}: {v}\r\n" for k, v in dict(fields).items())
        s.sendall((f"{method} {path} HTTP/1.1\r\n{lines}"
                   f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        with s.makefile("rb") as stream:
            head = read_head(stream)
            if head is None:
                raise OSError("closed without an answer")
            answer = read_body(stream, head[1])
            if len(answer) != int(head[1].get("content-length", 0)):
                raise OSError("the answer ends early")
            return int(head[0].split(" ")[1]), head[1], answer


def render(template, fields):
    """Fills in a template without sections, as the platform does."""
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: str(fields.get(m[1], "")),
                  template)


def deploy_file():
    text = (ROOT / "deploy" / "system.toml").read_text()
    run = re.search(r'^run = "([^"]+)"', text, re.M)[1]
    template = re.search(r'^template = "([^"]+)"', text, re.M)[1]
    return run.split(" "), (ROOT / template).read_text()


class Node:
    """One process of the deploy file's role, with its endpoint."""

    def __init__(self, index, service, store, directory, record,
                 zone="zone-a", **endpoint):
        ports = free_ports(PORTS_PER_NODE + 1)
        self.name = f"sidecar-{zone}-{index}"
        self.outbound, self.ready, self.control = ports[:3]
        self.directory, self.record = directory, record
        self.endpoint = Endpoint(service, ports[6], self.control, record,
                                 zone=zone, **endpoint)
        fields = {
            "node-name": self.name, "zone": zone, "service": service,
            "application-address": f"{HOST}:{ports[6]}",
            "listen-addresses.outbound": f"{HOST}:{self.outbound}",
            "listen-addresses.ready": f"{HOST}:{self.ready}",
            "listen-addresses.control": f"{HOST}:{self.control}",
            "ip-address": HOST, "internal-port-range.0": ports[3],
            "internal-port-range.1": ports[4],
            "platform.address": f"{HOST}:{store.port}",
            "heartbeat-s": HEARTBEAT_S, "limits.file-descriptors": 4100,
            **{f"bounds.{k}": v for k, v in BOUNDS.items()}}
        self.command, template = deploy_file()
        self.settings = directory / f"{self.name}.conf"
        self.settings.write_text(render(template, fields))
        self.process = None

    def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CannotRun(f"{self.command[0]} is not built")
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(program), *self.command[1:]], cwd=ROOT, stdout=log,
            stderr=log, env={"PATH": os.environ.get("PATH", ""),
                             "KINGCUPSLIP_CONFIG": str(self.settings)})
        self.record.write(f"{self.name}: started")

    def is_ready(self):
        try:
            return exchange(self.ready, "GET", "/readiness",
                            timeout=1.0)[0] == 200
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def route(name, prefix, kind, service, **more):
    return {"resource-kind": "routes", "metadata": {"name": name},
            "spec": {"host": "shop.example", "prefix": prefix, "kind": kind,
                     "timeout-s": 5, "target-latency-s": 1.2, "priority": 1,
                     "service": service, "max-attempts": 2, "public": False,
                     **more}}


def desired_state(version, routes, services):
    return {"version": version, "resources": [
        *routes,
        *({"resource-kind": "services", "metadata": {"name": s},
           "spec": {"health-path": "/health", "max-connections": 1162}}
          for s in services),
        {"resource-kind": "tenants", "metadata": {"name": "tenant-a"},
         "spec": {"keys": ["key-a"], "priority": 1}},
        {"resource-kind": "limits", "metadata": {},
         "spec": {"max-header-bytes": 16384, "max-body-bytes": 67108864,
                  "header-timeout-s": 3, "idle-timeout-s": 15}}]}


class Fleet:
    """A store and nodes with their endpoints."""

    def __init__(self, record, services, zones=None, **endpoint):
        """One node for each of `services`; by default all in one zone."""
        zones = zones or ["zone-a"] * len(services)
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.nodes = [Node(i, s, self.store, self.directory, record, z,
                           **endpoint)
                      for i, (s, z) in enumerate(zip(services, zones), 1)]
        self.ids = 0
        self.lock = threading.Lock()

    def start(self, routes):
        self.store.put("op", "config", desired_state(
            "r1", routes, sorted({n.endpoint.service for n in self.nodes})))
        for n in self.nodes:
            n.start()
        wait_until(lambda: all(n.is_ready() for n in self.nodes),
                   "the nodes do not become ready")
        for n in self.nodes:
            n.endpoint.keep_checking_in()

    def next_id(self, word):
        with self.lock:
            self.ids += 1
            return f"{word}-{self.ids}"

    def send(self, node, method, path, body=b"", word="r", limit_ms=5000):
        """Sends one client attempt; returns its id and status (0: none)."""
        request_id = self.next_id(word)
        fields = {"Host": "shop.example", "X-Api-Key": "key-a",
                  "X-Kingcupslip-Request-Id": request_id,
                  "X-Kingcupslip-Request-Deadline": limit_ms}
        self.record.write(f"client at {node.name}: sends {request_id} {method}"
                          f" {path} ({len(body)} bytes)")
        try:
            status = exchange(node.outbound, method, path, body, fields,
                              timeout=limit_ms / 1000 + 1)[0]
        except OSError as e:
            status = 0
            self.record.write(f"client at {node.name}: {request_id}: {e}")
        self.record.write(f"client at {node.name}: {request_id} answered "
                          f"{status}")
        return request_id, status

    def check_alive(self):
        for n in self.nodes:
            if n.process.poll() is not None:
                raise CannotRun(f"{n.name} has ended by itself")

    def stop(self):
        for n in self.nodes:
            n.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


def wait_until(condition, failure, timeout_s=START_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(failure)
        time.sleep(0.05)


def main(case, directory):
    """Runs `case(record, trouble)`, which returns the faults that it saw.
    Exits with 1 if there are some, 0 if there are none, 2 if it cannot run."""
    record = Record(pathlib.Path(directory) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")
    try:
        faults = case(record, trouble)
        code = 1 if faults else 0
        lines = [*faults, "the rule was broken" if faults
                 else "the rule held"]
    except CannotRun as e:
        code, lines = 2, [f"could not run: {e}"]
    except Exception as e:  # the case itself is at fault
        code, lines = 2, [f"could not run: {type(e).__name__}: {e}"]
    for line in lines:
        record.write(line)
        print(line)
    sys.stdout.flush()
    os._exit(code)  # the threads of the stand-ins are still there
