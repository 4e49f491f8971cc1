"""Stand-ins for the second review: the platform's store, endpoints, clients.

They follow the users' pages and record what they see. Everything runs on
loopback addresses; nodes are started with the command of the deploy file.
"""
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
HOST = "orders.example"
KEY = "key-of-tenant-a"
BEAT_SECONDS = 1.5
_given = set()


def free_ports(count):
    """Returns ports that nobody listens on, each only once. They lie below
    those that the kernel gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12_000, 32_000)
        if port in _given:
            continue
        with socket.socket() as s:
            try:
                s.bind((LOCAL, port))
            except OSError:
                continue
        _given.add(port)
        ports.append(port)
    return ports


class Record:
    """Writes what was sent, answered and run, with times from the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.zero = time.monotonic()

    def __call__(self, text):
        with self.lock:
            t = time.monotonic() - self.zero
            self.file.write(f"{t:8.3f} {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", headers=()):
        head = [f"HTTP/1.1 {status} Status"]
        head += [f"{n}: {v}" for n, v in headers]
        head.append(f"Content-Length: {len(body)}")
        try:
            self.wfile.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            return True
        except OSError:
            self.close_connection = True
            return False


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        pass


def serve(port, handler):
    server = Server((LOCAL, port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, port):
        self.rows, self.changes, self.version = {}, [], 0
        self.changed = threading.Condition()
        store = self

        class Call(Handler):
            def do_GET(self):
                n = int(self.headers.get("Content-Length", 0))
                status, out = store.handle(self.path, self.rfile.read(n))
                out["now-s"] = time.monotonic()
                self.reply(status, json.dumps(out).encode(),
                           [("Content-Type", "application/json")])

            do_POST = do_GET

        serve(port, Call)

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.set((table, "", key),
                     base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    def set(self, name, value):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "record-version": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["tombstone"] = True
        else:
            row["value"] = value
            self.rows[name] = row
        self.changes.append(row)

    def handle(self, path, body):
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            if url.path == "/rows-tx":
                return self.commit(json.loads(body))
            if url.path == "/rows-get":
                return self.read(query)
            if url.path == "/rows-feed":
                return self.feed(query)
        return 404, {}

    def commit(self, body):
        def name(e):
            return e["table"], e["part"], e["key"]

        expected = body.get("expect", [])
        for e in expected:
            row = self.rows.get(name(e), {})
            if row.get("record-version", 0) != e["record-version"]:
                return 412, {"rows": [self.rows[name(x)] for x in expected
                                      if name(x) in self.rows],
                             "record-version": self.version}
        self.version += 1
        for e in body.get("puts", []):
            self.set(name(e), e["value"])
        for e in body.get("remove", []):
            self.set(name(e), None)
        self.changed.notify_all()
        return 200, {"record-version": self.version}

    def read(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self.rows[n] for n in sorted(self.rows)
                if n[:2] == (query["table"], query.get("part", ""))
                and n[2] >= query.get("from", "")
                and ("target" not in query or n[2] < query["target"])]
        return 200, {"rows": rows[:limit], "has-more": len(rows) > limit,
                     "record-version": self.version}

    def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [r for r in self.changes if r["table"] == query["table"]
                    and r["record-version"] > after]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "record-version": self.version}
            self.changed.wait(left)


class Endpoint:
    """Runs requests. How long, and with which answer, `work` decides: it gets
    the request and returns seconds, or calls of its own to make first."""

    def __init__(self, port, control, instance, service, record, zone="zone-a"):
        self.address = f"{LOCAL}:{port}"
        self.control, self.instance = control, instance
        self.service, self.record, self.zone = service, record, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work = lambda call: 0.02
        self.runs = []  # (id, start, end, "answered" or "cut", fields)
        self.beating = True
        endpoint = self

        class Call(Handler):
            def do_GET(self):
                endpoint.run(self)

            do_POST = do_PUT = do_GET

        serve(port, Call)
        threading.Thread(target=self.beat, daemon=True).start()

    def run(self, call):
        n = int(call.headers.get("Content-Length", 0))
        call.body = call.rfile.read(n)
        fields = {k.lower(): v for k, v in call.headers.items()}
        rid = fields.get("x-kingcupslip-request-id", "")
        echo = [("X-Kingcupslip-Request-Id", rid)]
        if fields.get("x-kingcupslip-expected-instance") != self.instance:
            call.reply(421, b"", [*echo, ("X-Kingcupslip-Not-Executed", "1")])
            return
        began = time.monotonic()
        self.record(f"{self.instance} runs {rid} {call.path} "
                    f"deadline={fields.get('x-kingcupslip-request-deadline')} "
                    f"caller={fields.get('x-kingcupslip-caller-service')}")
        entry = [rid, began, None, None, fields]
        self.runs.append(entry)
        self.wait(call, began + self.work(call))
        whole = b"answer to " + rid.encode()
        entry[2] = time.monotonic()
        if self.closed(call):
            entry[3] = "cut"
            call.close_connection = True
            self.record(f"{self.instance} {rid} was cut off while at work, "
                        f"after {entry[2] - began:.2f} s")
            return
        sent = call.reply(200, whole, [*echo, (
            "X-Kingcupslip-Server-Signature", f"signed-{rid}")])
        entry[3] = "answered" if sent else "cut"
        self.record(f"{self.instance} {rid} {entry[3]}")

    def wait(self, call, until):
        """Works until then, or until the connection closes."""
        while (left := until - time.monotonic()) > 0 and not self.closed(call):
            time.sleep(min(left, 0.02))

    @staticmethod
    def closed(call):
        try:
            return call.connection.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def say(self, verb, body):
        return http(self.control, "POST", f"/Instances.{verb}/{self.instance}",
                    json.dumps(body).encode(), timeout=1)[0]

    def beat_once(self):
        self.sequence += 1
        return self.say("Heartbeat", {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 50,
            "state": self.state, "cold-remaining-s": 0,
            "sequence": self.sequence, "born": self.born})

    def beat(self):
        while True:
            if self.beating:
                try:
                    self.beat_once()
                except OSError:
                    pass
            time.sleep(BEAT_SECONDS)


def http(port, method, path, body=b"", headers=(), timeout=8.0):
    """Sends one request on a new connection. Returns status, fields, body;
    status 0 if the connection ended without a whole answer."""
    lines = [f"{method} {path} HTTP/1.1", "Connection: close",
             f"Content-Length: {len(body)}"]
    names = {n.lower() for n, _ in headers}
    if "host" not in names:
        lines.append(f"Host: {LOCAL}")
    lines += [f"{n}: {v}" for n, v in headers]
    with socket.create_connection((LOCAL, port), 1.0) as s:
        s.settimeout(timeout)
        s.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return read_answer(s.makefile("rb"))


def read_answer(stream):
    try:
        first = stream.readline().split()
        if len(first) < 2:
            return 0, {}, b""
        fields = {}
        while (line := stream.readline().strip()):
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
        body = stream.read(int(fields.get("content-length", 0)))
    except OSError:
        return 0, {}, b""
    whole = len(body) == int(fields.get("content-length", 0))
    return (int(first[1]) if whole else 0), fields, body


def route(name, prefix, kind, service, **more):
    return {"resource-kind": "routes", "metadata": {"name": name}, "spec": {
        "host": HOST, "prefix": prefix, "kind": kind, "timeout-s": 6,
        "target-latency-s": 2, "priority": 0, "service": service,
        "max-attempts": 2, "public": False, **more}}


def desired_state(version, routes, services):
    return {"version": version, "resources": [
        *routes,
        *({"resource-kind": "services", "metadata": {"name": s}, "spec": {
            "health-path": "/health", "max-connections": 424,
            "protocol": "h1", "tls": False, "cold-start-s": 3.0,
            "cold-per-s": 44.0}} for s in services),
        {"resource-kind": "tenants", "metadata": {"name": "tenant-a"},
         "spec": {"keys": [KEY], "priority": 1, "rate-per-s": 500,
                  "burst": 500}},
        {"resource-kind": "limits", "metadata": {}, "spec": {
            "max-header-bytes": 16384, "max-body-bytes": 67108864,
            "header-timeout-s": 3, "idle-timeout-s": 15}}]}


class Node:
    """The deployed program, beside an endpoint."""

    def __init__(self, name, service, store_port, record, folder, zone="zone-a"):
        (self.callers, self.ready, self.control, self.peers, self.metrics,
         self.target) = free_ports(6)
        self.name, self.record, self.zone = name, record, zone
        self.store_port = store_port
        self.file = pathlib.Path(folder) / f"{name}.yaml"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "w")
        self.write_settings(service)
        self.endpoint = Endpoint(self.target, self.control, f"i-{name}",
                                 service, record, zone)
        self.process = None

    def write_settings(self, service):
        """As the platform fills in deploy/node.yaml.template."""
        text = (ROOT / "deploy" / "node.yaml.template").read_text()
        values = {
            "node-name": self.name, "zone": self.zone, "service": service,
            "application-address": f"{LOCAL}:{self.target}",
            "listen-addresses.outbound": f"{LOCAL}:{self.callers}",
            "listen-addresses.ready": f"{LOCAL}:{self.ready}",
            "listen-addresses.control": f"{LOCAL}:{self.control}",
            "ip-address}}:{{internal-port-range.0": f"{LOCAL}:{self.peers}",
            "ip-address}}:{{internal-port-range.1": f"{LOCAL}:{self.metrics}",
            "platform.address": f"{LOCAL}:{self.store_port}",
            "heartbeat-s": "1.5", "bounds.grace-period-s": "6",
            "bounds.budget-ratio": "0.2", "bounds.budget-slack": "48",
            "limits.file-descriptors": "4100", "bounds.expose-share": ""}
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        assert "{{" not in text, text
        part = self.file.with_suffix(".part")
        part.write_text(text)
        part.replace(self.file)

    def start(self):
        with open(ROOT / "deploy" / "system.toml", "rb") as f:
            command = tomllib.load(f)["roles"]["node"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["KINGCUPSLIP_CONFIG"] = str(self.file)
        self.process = subprocess.Popen(command, cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            return http(self.ready, "GET", "/readiness", timeout=1)[0] == 200
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def send(self, rid, path, method="POST", body=b"{}", key=KEY, limit_ms=6000,
             timeout=None, **more):
        headers = [("Host", HOST), ("X-Kingcupslip-Request-Id", rid),
                   ("X-Kingcupslip-Request-Deadline", str(limit_ms))]
        if key:
            headers.append(("X-Api-Key", key))
        headers += list(more.items())
        self.record(f"client sends {rid} {method} {path} to {self.name}")
        began = time.monotonic()
        try:
            out = http(self.callers, method, path, body, headers,
                       timeout or limit_ms / 1000)
        except OSError as e:
            out = (0, {"error": type(e).__name__}, b"")
        self.record(f"client gets {out[0]} {out[2][:80]!r} for {rid} after "
                    f"{time.monotonic() - began:.2f} s")
        return out


class Fleet:
    """A store and nodes; ends all processes."""

    def __init__(self, folder, names_and_services, state):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        port = free_ports(1)[0]
        self.store = Store(port)
        self.store.put("op", "config", state)
        self.nodes = [Node(name, service, port, self.record,
                           self.temporary.name, zone)
                      for name, service, zone in names_and_services]

    def __enter__(self):
        for n in self.nodes:
            n.start()
        return self

    def __exit__(self, *_):
        for n in self.nodes:
            n.stop()

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(n.is_ready() for n in self.nodes):
                return True
            time.sleep(0.1)
        return False


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def in_thread(function, *args, **named):
    """Starts the call; the returned function waits for its result."""
    out = []
    t = threading.Thread(target=lambda: out.append(function(*args, **named)),
                         daemon=True)
    t.start()

    def result():
        t.join()
        return out[0]

    return result


def main(play):
    """Exit status 1: the rule was broken, 0: it held, 2: it couldn't run."""
    try:
        sys.exit(1 if play(pathlib.Path(sys.argv[0]).resolve().parent) else 0)
    except Exception as e:  # noqa: BLE001
        print(f"could not run: {type(e).__name__}: {e}", file=sys.stderr)
        sys.exit(2)
