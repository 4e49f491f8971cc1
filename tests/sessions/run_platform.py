#!/usr/bin/env python3
"""Runs sessions with real nodes on stand-ins for the users' platform.

Two nodes with an endpoint each use a stand-in for the store; all requests go
through the adapter. Transcripts are compared as in run_sessions.py.
"""
import fcntl
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "tests" / "standins"),
                str(ROOT / "tests" / "sessions")]
import demo_fleet  # noqa: E402
import platform_standin  # noqa: E402
from run_sessions import check_transcript  # noqa: E402

ADAPTER = ROOT / "build" / "kingcupslip-platform"
WAIT_TIMEOUT_SECONDS = 20
HEARTBEAT_INTERVAL_SECONDS = 0.3


def route(name, prefix, kind, **more):
    return {"resource-kind": "routes", "metadata": {"name": name},
            "spec": {"host": "h.example", "prefix": prefix, "kind": kind,
                     "timeout-s": 3, "target-latency-s": 1, "priority": 1,
                     "service": "svc", "max-attempts": 2, "public": False,
                     **more}}


def desired_state(version, routes, keys=("key-one",)):
    return {"version": version, "resources": [
        *routes,
        {"resource-kind": "services", "metadata": {"name": "svc"},
         "spec": {"health-path": "/health", "max-connections": 100,
                  "cold-start-s": 1.0, "cold-per-s": 5}},
        {"resource-kind": "tenants", "metadata": {"name": "tenant-a"},
         "spec": {"keys": list(keys), "rate-per-s": 500, "burst": 500}}]}


ROUTES = [route("safe", "/safe/", "idempotent"),
          route("once", "/once/", "non_idempotent"),
          route("inner", "/inner/", "idempotent", public=True)]


class Node:
    """An adapter process with the stand-in for its endpoint."""

    def __init__(self, name, ports, store_port, service="svc"):
        self.name = name
        self.callers, self.ready, self.control = ports[:3]
        self.metrics = ports[4]
        self.endpoint = platform_standin.Endpoint(ports[5], service,
                                                  f"i-{name}")
        self.log = tempfile.NamedTemporaryFile("w+", suffix=".log")
        local = "127.0.0.1"
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        self.settings.write(
            f"node: {name}\ndata_centre: dc-a\nservice: {service}\n"
            f"target: {self.endpoint.address}\n"
            f"callers: {local}:{self.callers}\n"
            f"readiness: {local}:{self.ready}\n"
            f"announcements: {local}:{self.control}\n"
            f"peers: {local}:{ports[3]}\nmetrics: {local}:{ports[4]}\n"
            f"store: {local}:{store_port}\n"
            "fleet_secret: secret-of-the-fleet-x\n"
            "rollout_share: 0.1\npipelined_requests: 8\n"
            "locality: adaptive\nleaving_cost_s:\n")
        self.settings.flush()
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [str(ADAPTER), "--config", self.settings.name], stdout=self.log,
            stderr=self.log)

    def start_with_unread_log(self):
        """Starts the node with a short pipe for its log that nobody reads."""
        self.log_pipe, end = os.pipe()
        fcntl.fcntl(end, fcntl.F_SETPIPE_SZ, 4096)
        self.process = subprocess.Popen(
            [str(ADAPTER), "--config", self.settings.name], stdout=end)
        os.close(end)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def call(self, port, method, path, body=b"", headers=()):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        try:
            connection.request(method, path, body, dict(headers))
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def peak_memory_kb(self):
        with open(f"/proc/{self.process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM"))

    def event_names(self):
        """Returns the names of the events that the node has logged."""
        with open(self.log.name) as lines:
            return [json.loads(line)["name"] for line in lines
                    if line.startswith("{") and line.endswith("}\n")]

    def event_names_since_start(self):
        """Returns the names of the events of the node's last process."""
        names = self.event_names()
        starts = [i for i, name in enumerate(names) if name == "node_started"]
        return names[starts[-1]:] if starts else []

    def event_count(self, name):
        return self.event_names().count(name)

    def send_bytes(self, port, data):
        """Sends bytes; returns the answer's status, or 0 without an answer."""
        with socket.create_connection(("127.0.0.1", port), 10) as connection:
            try:
                connection.sendall(data)
                answer = connection.recv(4096)
            except OSError:
                return 0
            return int(answer.split()[1]) if answer else 0

    def send_heartbeat(self, **changed):
        body = json.dumps(self.endpoint.next_heartbeat(**changed)).encode()
        return self.call(self.control, "POST", "/Instances.Heartbeat/"
                         + self.endpoint.instance, body)[0]

    def is_ready(self):
        try:
            return self.call(self.ready, "GET", "/readiness")[0] == 200
        except OSError:
            return False


class Sessions:
    """Two nodes, their store and the sessions, one method for each."""

    def __init__(self):
        ports = demo_fleet.free_ports(13)
        self.store = platform_standin.Store(ports[0])
        self.nodes = [Node("n1", ports[1:7], ports[0]),
                      Node("n2", ports[7:13], ports[0])]
        self.heartbeats_enabled = True
        self.next_id = 0

    def start(self):
        self.store.put("op", "config", desired_state("r1", ROUTES))
        for node in self.nodes:
            node.start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        self.wait(lambda: all(n.is_ready() for n in self.nodes))
        self.wait(lambda: self.send("/safe/x")[0] == 200)

    def send_heartbeats(self):
        while True:
            for node in self.nodes:
                try:
                    if self.heartbeats_enabled:
                        node.send_heartbeat()
                except OSError:
                    pass
            time.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def wait(self, condition):
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def send(self, path, key="key-one", node=0, method="POST", body=b"b",
            **more):
        self.next_id += 1
        headers = {"Host": "h.example",
                   "X-Kingcupslip-Request-Id": f"q{self.next_id}",
                   "X-Kingcupslip-Request-Deadline": "2000", **more}
        if key:
            headers["X-Api-Key"] = key
        n = self.nodes[node]
        return n.call(n.callers, method, path, body, headers)

    def requests_seen(self):
        """Returns the requests that the endpoints ran, in order of time."""
        return sorted((s for n in self.nodes for s in n.endpoint.requests),
                      key=lambda s: s[4])

    def requests(self):
        """Requests through the adapter, answered and refused."""
        status, headers, body = self.send("/safe/a?b=c", body=b"hello")
        yield "answer", f"{status} {body.decode()}"
        yield "signature", headers.get("X-Kingcupslip-Server-Signature")
        method, path, fields, got = self.requests_seen()[-1][:4]
        yield "at the endpoint", f"{method} {path} {got.decode()}"
        yield "key passed on", "x-api-key" in fields
        yield "tenant", fields.get("x-kingcupslip-tenant")
        yield "caller", fields.get("x-kingcupslip-caller-service")
        yield "host", fields.get("host")
        left = int(fields["x-kingcupslip-request-deadline"])
        yield "time left is less", 0 < left <= 2000
        yield "forged tenant", self.forged_tenant()
        yield "unknown key", self.send("/safe/a", "guess")[0]
        yield "no key", self.send("/safe/a", None)[0]
        yield "open route", self.send("/inner/a", None)[0]
        yield "no route", self.send("/nowhere/a")[0]
        n = self.nodes[0]
        yield "no id", n.call(n.callers, "GET", "/safe/a", b"",
                              {"Host": "h.example"})[0]

    def forged_tenant(self):
        self.send("/inner/a", None, **{"X-Kingcupslip-Tenant": "other",
                                       "X-Kingcupslip-Caller-Service": "x"})
        fields = self.requests_seen()[-1][2]
        return (fields.get("x-kingcupslip-tenant"),
                fields.get("x-kingcupslip-caller-service"))

    def faulty_endpoints(self):
        """Answers that are truncated, repeated, or of another endpoint."""
        for n in self.nodes:
            n.endpoint.answers_to_truncate = 1
        yield "cut answer, may not run twice", self.send("/once/a")[0]
        for n in self.nodes:
            n.endpoint.answers_to_truncate = 0
            n.endpoint.answers_to_repeat = 1
        yield "extra answers", {self.send("/safe/a")[2].decode()
                                for _ in range(8)}
        for n in self.nodes:
            n.endpoint.answers_to_repeat = 0
        before = len(self.requests_seen())
        self.heartbeats_enabled = False
        for n in self.nodes:
            n.endpoint.instance += "-new"
        status, headers, _ = self.send("/once/a")
        yield "address of another endpoint", status
        yield "says when to come back", "Retry-After" in headers
        yield "ran there", len(self.requests_seen()) - before
        self.heartbeats_enabled = True
        self.wait(lambda: self.send("/safe/a")[0] == 200)

    def refuse_on_kept_connections(self):
        """Has each endpoint refuse a request on the connection that its node
        uses next; returns the statuses."""
        for n in self.nodes:
            n.endpoint.refuses = True
            n.endpoint.refusals = 0
        statuses = set()
        self.wait(lambda: statuses.add(self.send("/once/a")[0])
                  or all(n.endpoint.refusals > 0 for n in self.nodes))
        for n in self.nodes:
            n.endpoint.refuses = False
        return statuses

    def skipped_answers(self):
        return sum(n.event_names().count("answer_skipped")
                   for n in self.nodes)

    def fill_retry_budget(self):
        for i in range(40):
            self.send("/safe/a", node=i % 2)

    def repeated_refusals(self):
        """An endpoint writes an earlier refusal again where the answer to a
        request that it runs is due."""
        skipped_before = self.skipped_answers()
        for how in ("with its id", "without an id", "alone"):
            yield how, f"refused {self.refuse_on_kept_connections()}"
            self.fill_retry_budget()
            before = len(self.requests_seen())
            for n in self.nodes:
                n.endpoint.repeats_refusal = how
            status = self.send("/once/a")[0]
            for n in self.nodes:
                n.endpoint.repeats_refusal = None
            yield "answer", status
            yield "runs", len(self.requests_seen()) - before
        self.wait(lambda: self.skipped_answers() >= skipped_before + 3)
        yield "logged", self.skipped_answers() - skipped_before
        yield "served", self.wait(lambda: self.send("/safe/a")[0] == 200)

    def promising_statuses(self):
        """An endpoint that ran a request answers with a status by which the
        platform promises callers that it has not run."""
        for given in (408, 421, 429, 503):
            for n in self.nodes:
                n.endpoint.status = given
            before = len(self.requests_seen())
            status, headers, _ = self.send("/once/a")
            for n in self.nodes:
                n.endpoint.status = 200
            yield given, (status, "X-Kingcupslip-Server-Signature" in headers)
            yield "runs", len(self.requests_seen()) - before
            yield "served", self.wait(lambda: self.send("/safe/a")[0] == 200)

    def send_many(self, count, interval):
        """Sends idempotent requests at even intervals; returns statuses."""
        got = []
        threads = []
        for i in range(count):
            threads.append(threading.Thread(
                target=lambda i=i: got.append(
                    self.send("/safe/a", node=i % 2)[0])))
            threads[-1].start()
            time.sleep(interval)
        for it in threads:
            it.join()
        return got

    def target_notices(self):
        """Endpoints that ask for a lower rate, and that say they leave."""
        limited, other = (n.endpoint for n in self.nodes)
        limited.stated = [("Server-Limit", "2.5")]
        yield "passed on", self.wait(
            lambda: self.send("/safe/a")[1].get("Server-Limit") == "2.5")
        time.sleep(1)
        before = len(limited.requests)
        statuses = self.send_many(80, 0.05)
        yield "answered", set(statuses)
        yield "within the limit", len(limited.requests) - before <= 2.5 * 6 + 5
        yield "and used", len(limited.requests) > before
        limited.stated = []
        yield "limit ends", self.wait(
            lambda: self.send("/safe/a")[0] == 200
            and "target_rate_unlimited" in self.nodes[0].event_names())
        other.stated = [("Server-Leaving", "1")]
        yield "leaves", self.wait(
            lambda: self.send("/safe/a")[1].get("Server-Leaving") == "1")
        time.sleep(0.5)
        before = len(other.requests)
        yield "answered", set(self.send_many(20, 0.02))
        yield "requests after", len(other.requests) - before
        other.stated = []
        other.instance += "-next"
        other.born += 1
        yield "next instance", self.wait(
            lambda: self.send("/safe/a", node=1)[0] == 200
            and len(other.requests) > before)

    def endless_answers(self):
        """Answers without end: the caller is answered, memory is bounded."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for name, answer in (
                ("head", (b"HTTP/1.1 200 OK\r\nA: ", b"a")),
                ("body", (b"HTTP/1.1 200 OK\r\n\r\n", b"b")),
                ("chunks", (chunked, b"4\r\nbody\r\n")),
                ("chunk extension", (chunked + b"4;a=", b"b")),
                ("huge length", (b"HTTP/1.1 200 OK\r\nContent-Length: "
                                 b"99999999999\r\n\r\n", b"b"))):
            for n in self.nodes:
                n.endpoint.endless_answer = answer
            began = time.monotonic()
            threads = []
            got = []
            for i in range(12):
                threads.append(threading.Thread(
                    target=lambda i=i: got.append(
                        self.send("/once/a", node=i % 2)[0])))
                threads[-1].start()
            for it in threads:
                it.join()
            yield name, (set(got) <= {502, 503, 504}, len(got),
                         time.monotonic() - began < 2.5)
        for n in self.nodes:
            n.endpoint.endless_answer = None
        yield "peak memory below 100 MB", all(
            n.peak_memory_kb() < 100_000 for n in self.nodes)
        yield "served", self.wait(lambda: self.send("/safe/a")[0] == 200)

    def cut_answers(self):
        """Endpoints that end within the head or the body of an answer."""
        chunked = "4\r\nfour\r\n0\r\n\r\n"
        for name, framing, body, places in (
                ("length", "Content-Length: 12\r\n", "twelve bytes",
                 ("", "HTTP/1.", "200 OK", "200 OK\r\n", "X-Kingcupslip-Re",
                  "signed", "signed\r\n", "Content-Length: 1",
                  "Content-Length: 12\r\n", "12\r\n\r\n", "twelve byte")),
                ("chunks", "Transfer-Encoding: chunked\r\n", chunked,
                 ("chunked", "chunked\r\n", "chunked\r\n\r\n", "\nfour",
                  "four\r\n0\r\n")),
                ("no length", "", "short", ("signed\r\n",))):
            for place in places:
                def cut(request_id, framing=framing, body=body, place=place):
                    whole = ("HTTP/1.1 200 OK\r\nX-Kingcupslip-Request-Id: "
                             f"{request_id}\r\nX-Kingcupslip-Server-Signature"
                             f": signed\r\n{framing}\r\n{body}")
                    return whole[:whole.index(place) + len(place)].encode()
                for n in self.nodes:
                    n.endpoint.cut_answer = cut
                yield f"{name} {place!r}", [
                    self.send(path, node=i, body=b"%d" % self.next_id)[0]
                    for i in (0, 1) for path in ("/once/a", "/safe/a")]
        for n in self.nodes:
            n.endpoint.cut_answer = None
        yield "logged", [n.event_count("answer_incomplete") > 0
                         for n in self.nodes]
        yield "served", self.wait(lambda: self.send("/safe/a")[0] == 200)

    def foreign_bytes(self):
        """Ids, paths and check-ins that are not UTF-8, deep or huge."""
        node = self.nodes[0]
        head = (b"Host: h.example\r\nX-Kingcupslip-Request-Id: q\r\n"
                b"Connection: close\r\n")
        yield "request id", self.send(
            "/safe/a", **{"X-Kingcupslip-Request-Id": "\xff\xfe"})[0]
        yield "key", self.send("/safe/a", "\xff\xfe")[0]
        yield "deadline", [self.send(
            "/safe/a", **{"X-Kingcupslip-Request-Deadline": text})[0]
            for text in ("9223372036854775807", "9" * 30, "-1", "1e9", "\xff")]
        yield "path", node.send_bytes(
            node.callers, b"GET /inner/\xff\xfe HTTP/1.1\r\n" + head + b"\r\n")
        yield "host", node.send_bytes(
            node.callers, b"GET /safe/ HTTP/1.1\r\nHost: \xff\xfe\r\n"
            b"X-Kingcupslip-Request-Id: q\r\nConnection: close\r\n\r\n")
        yield "method", node.send_bytes(
            node.callers, b"GE* /inner/a HTTP/1.1\r\n" + head + b"\r\n")
        check_in = b"POST /Instances.Heartbeat/\xff\xfe HTTP/1.1\r\n" + head
        yield "check-in", node.send_bytes(
            node.control, check_in + b"Content-Length: 2\r\n\r\n{}")
        body = json.dumps(node.endpoint.next_heartbeat()).encode()
        yield "instance", node.send_bytes(
            node.control, check_in + b"Content-Length: %d\r\n\r\n%s" %
            (len(body), body))
        yield "leaving", node.send_bytes(
            node.control, b"POST /Instances.Deregister/\xff HTTP/1.1\r\n"
            + head + b"\r\n")
        yield "numbers", [node.send_heartbeat(**{name: 1e300}) for name in
                          ("slots", "cold-remaining-s")]
        for name, depth in (("deep", 30_000), ("deep and long", 2_000_000)):
            deep = b'{"a":' + b"[" * depth + b"]" * depth + b"}"
            status = node.send_bytes(
                node.control, b"POST /Instances.Heartbeat/i-x HTTP/1.1\r\n"
                + head + b"Content-Length: %d\r\n\r\n%s" %
                (len(deep), deep))
            # A body that is refused unread may cost its answer.
            yield name, status in (0, 400, 413)
        yield "peak memory below 100 MB", node.peak_memory_kb() < 100_000
        yield "same process", node.process.poll()
        yield "still served", self.wait(lambda: self.send("/safe/a")[0] == 200)
        yield "readable log", all(map(json.loads, open(node.log.name)))

    def pipelines(self):
        """Requests that are sent before the earlier ones are answered."""
        def request(path):
            self.next_id += 1
            return (f"GET {path} HTTP/1.1\r\nHost: h.example\r\n"
                    f"X-Kingcupslip-Request-Id: q{self.next_id}\r\n"
                    "X-Kingcupslip-Request-Deadline: 5000\r\n"
                    "X-Api-Key: key-one\r\n\r\n").encode()
        for n in self.nodes:
            n.endpoint.delay = 0.2
        first = self.next_id + 1
        before = len(self.requests_seen())
        began = time.monotonic()
        with socket.create_connection(
                ("127.0.0.1", self.nodes[0].callers), 10) as connection:
            connection.sendall(b"".join(
                request(f"/safe/{i}") for i in range(8)))
            got = b""
            while got.count(b"HTTP/1.1 200") < 8 or not got.endswith(b"ran "):
                data = connection.recv(65536)
                if not data:
                    break
                got += data
        took = time.monotonic() - began
        for n in self.nodes:
            n.endpoint.delay = 0
        ids = re.findall(rb"Request-Id: q(\d+)", got)
        yield "in order", ids == [b"%d" % (first + i) for i in range(8)]
        yield "runs", len(self.requests_seen()) - before
        # One after the other they take 1.6 s.
        yield "side by side", took < 0.8

    def route_preview(self):
        """The operators' program asks where a request would go."""
        def ask(*arguments):
            result = subprocess.run(
                [str(ADAPTER.parent / "kingcupslip"), "--url",
                 f"http://127.0.0.1:{self.nodes[0].metrics}", "--output",
                 "json", "route", *arguments], capture_output=True, text=True,
                check=False)
            return result.returncode, json.loads(
                result.stdout or result.stderr)
        before = len(self.requests_seen())
        code, preview = ask("--team", "tenant-a", "--host", "h.example",
                            "/safe/a?b=c&d")
        yield "exit", code
        yield "route", (preview["route"], preview["refused_for"])
        yield "targets", sorted((t["node"], t["left_out"]) for t in
                                preview["services"][0]["targets"])
        yield "unknown team", ask("--team", "nobody", "--host", "h.example",
                                  "/safe/a")
        yield "unknown path", ask("--host", "h.example", "/nowhere")
        yield "sent", len(self.requests_seen()) - before

    def roll_out(self):
        """The operator moves the traffic to another version, which is good,
        and then to one that is bad."""
        key = "rollout/svc"

        def order(version, duration_s):
            self.store.put("op", key, {"service": "svc", "target": version,
                                       "duration-s": duration_s})

        def play(node, version, duration_s):
            endpoint = self.nodes[node].endpoint
            endpoint.version = version
            endpoint.instance += "-" + version
            endpoint.born = int(time.time() * 1000)
            endpoint.sequence = 0
            order(version, duration_s)
            statuses = self.send_many(int(duration_s * 100), 0.01)
            self.wait(lambda: (self.store.value("status", key) or {}).get(
                "state") in ("completed", "rolled_back"))
            return statuses.count(200) > len(statuses) * 0.9

        yield "served", play(1, "v2", 10)
        yield "status", self.store.value("status", key)
        before = len(self.nodes[0].endpoint.requests)
        yield "served by the new version", {
            self.send("/safe/a", node=i % 2)[0] for i in range(20)}
        yield "runs at the old one", (
            len(self.nodes[0].endpoint.requests) - before)
        self.nodes[0].endpoint.status = 500
        yield "served beside a bad version", play(0, "v3", 10)
        yield "status", self.store.value("status", key)
        before = len(self.nodes[0].endpoint.requests)
        yield "served by the current version", {
            self.send("/safe/a", node=i % 2)[0] for i in range(20)}
        yield "runs at the bad one", (
            len(self.nodes[0].endpoint.requests) - before)
        self.nodes[0].endpoint.status = 200
        self.nodes[0].endpoint.version = "v1"
        self.store.put("op", key, "no order")
        yield "unreadable order", self.wait(lambda: any(
            n.event_count("rollout_unreadable") for n in self.nodes))
        self.store.delete("op", key)
        yield "both served again", self.wait(lambda: all(
            self.send("/safe/a", node=i % 2)[0] == 200 for i in range(8)))

    def check_ins(self):
        """Invalid heartbeats and a heartbeat of another endpoint."""
        n = self.nodes[0]
        yield "state not named", n.send_heartbeat(state="resting")
        yield "slots of another type", n.send_heartbeat(slots="many")
        yield "not JSON", n.call(n.control, "POST",
                                 "/Instances.Heartbeat/i-x", b"\xff{")[0]
        yield "another address", n.send_heartbeat(address="127.0.0.1:1")
        newer = {"born": int(time.time() * 1000), "sequence": 1}
        for field, value in (("service", "reports"), ("zone", "dc-b"),
                             ("zone", None), ("version", 7),
                             ("born", str(newer["born"]))):
            body = json.dumps(n.endpoint.next_heartbeat(
                **{**newer, field: value})).encode()
            yield f"{field} {value if field != 'born' else 'a text'}", n.call(
                n.control, "POST", "/Instances.Heartbeat/i-x", body)[0]
        yield "unreadable goodbye", n.call(
            n.control, "POST", "/Instances.Deregister/" + n.endpoint.instance,
            b"\xff{")[0]
        before = len(n.endpoint.requests)
        yield "still served", {self.send("/safe/a")[0] for _ in range(20)}
        yield "still used", len(n.endpoint.requests) > before
        yield "caller service", {
            s[2]["x-kingcupslip-caller-service"]
            for s in self.requests_seen()[-20:]}

    def kill_all(self):
        for n in self.nodes:
            n.stop()
        for n in self.nodes:
            n.start()
        self.wait(lambda: all(n.is_ready() for n in self.nodes))
        self.wait(lambda: self.nodes[1].send_heartbeat() == 200
                  and self.send("/safe/a")[0] == 200)

    def late_runs(self, delayed):
        """Sends a heartbeat of the first endpoint that was delayed, then
        requests; returns the answer to the heartbeat, the answers to the
        requests and how many that endpoint ran."""
        n = self.nodes[0]
        status = n.call(n.control, "POST", "/Instances.Heartbeat/"
                        + n.endpoint.instance, delayed)[0]
        before = len(n.endpoint.requests)
        got = {self.send("/safe/a")[0] for _ in range(20)}
        return status, got, len(n.endpoint.requests) - before

    def begin_life(self):
        """The first endpoint starts again; returns whether it is used soon."""
        n = self.nodes[0]
        n.endpoint.born = int(time.time() * 1000)
        n.endpoint.sequence = 0
        n.send_heartbeat()
        before = len(n.endpoint.requests)
        began = time.monotonic()
        used = self.wait(lambda: self.send("/safe/a")[0] == 200
                         and len(n.endpoint.requests) > before)
        return used and time.monotonic() - began < 1

    def departures(self):
        """An endpoint leaves, all nodes are killed, and a heartbeat that it
        sent before arrives; the store is there, slow or away."""
        self.heartbeats_enabled = False
        n = self.nodes[0]
        path = "/Instances.Deregister/" + n.endpoint.instance

        def delayed():
            return json.dumps(n.endpoint.next_heartbeat()).encode()

        def goodbye():
            return n.call(n.control, "POST", path, json.dumps(
                {"born": n.endpoint.born}).encode())[0]

        heartbeat = delayed()
        yield "goodbye", goodbye()
        self.kill_all()
        yield "delayed heartbeat", self.late_runs(heartbeat)
        yield "next lifetime is used", self.begin_life()
        heartbeat = delayed()
        yield "draining", n.send_heartbeat(state="draining")
        self.kill_all()
        yield "delayed heartbeat", self.late_runs(heartbeat)
        yield "next lifetime is used", self.begin_life()
        heartbeat = delayed()
        self.store.delay_s = 0.3
        yield "goodbye, slow store", goodbye()
        self.store.delay_s = 0
        self.kill_all()
        yield "delayed heartbeat", self.late_runs(heartbeat)
        yield "next lifetime is used", self.begin_life()
        heartbeat = delayed()
        self.store.down = True
        began = time.monotonic()
        yield "goodbye, no store", goodbye()
        yield "within a second", time.monotonic() - began < 1
        metrics = n.call(n.metrics, "GET", "/metrics")[2].decode()
        yield "counted", [line for line in metrics.splitlines()
                          if line.startswith("kingcupslip_departures")]
        yield "no requests", self.late_runs(heartbeat)
        self.store.down = False
        yield "again, with the store", self.wait(lambda: goodbye() == 200)
        self.kill_all()
        yield "delayed heartbeat", self.late_runs(heartbeat)
        yield "next lifetime is used", self.begin_life()
        yield "logged", [e for e in ("departures_known", "departures_recorded",
                                     "departure_unrecorded")
                         if e in n.event_names()]
        self.heartbeats_enabled = True

    def endless_bytes(self):
        """Callers and a store whose bytes do not end: memory is bounded."""
        n = self.nodes[0]
        head = (b"POST /safe/a HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Kingcupslip-Request-Id: q\r\n")
        body = b"Content-Length: 8000000\r\n\r\n" + bytes(7_000_000)
        for name, data, count in (("bodies", head + body, 40),
                                  ("heads", head + b"A: " + b"a" * 15_000,
                                   1000)):
            held = []
            for _ in range(count):
                held.append(socket.create_connection(
                    ("127.0.0.1", n.callers), 10))
                held[-1].setblocking(False)
            pending = {s: data for s in held}
            deadline = time.monotonic() + 3
            while pending and time.monotonic() < deadline:
                for s in list(pending):
                    try:
                        pending[s] = pending[s][s.send(pending[s][:1 << 18]):]
                        if not pending[s]:
                            del pending[s]
                    except BlockingIOError:
                        pass
                    except OSError:
                        del pending[s]
            yield f"served beside {name}", {self.send("/safe/a")[0]
                                            for _ in range(10)}
            for s in held:
                s.close()
        yield "event", n.event_count("caller_memory_full") > 0
        for name, text in (("arrays", b"[" + b"[]," * 1_300_000 + b"0]"),
                           ("deep", b"[" * 3_900_000)):
            lost_before = n.event_count("table_lost")
            self.store.foreign_answer = text
            self.store.put("op", "unread", {})
            yield f"served beside {name}", self.wait(
                lambda: n.event_count("table_lost") > lost_before
                and self.send("/safe/a")[0] == 200)
            self.store.foreign_answer = None
            yield f"store is back after {name}", self.wait(
                lambda: n.event_count("table_regained")
                >= n.event_count("table_lost"))
        yield "peak memory below 160 MB", n.peak_memory_kb() < 160_000
        yield "same process", n.process.poll()

    def changes(self):
        """Versions of the desired state, lost history, an evacuation."""
        self.store.put("op", "config",
                       desired_state("r2", ROUTES[:2], ("key-two",)))
        yield "old key ends", self.wait(
            lambda: self.send("/safe/a", "key-one")[0] == 401)
        yield "new key", self.send("/safe/a", "key-two")[0]
        yield "dropped route", self.send("/inner/a", None)[0]
        self.store.compact()
        self.store.put("op", "config", desired_state("r3", ROUTES))
        yield "after lost history", self.wait(
            lambda: self.send("/safe/a")[0] == 200)
        self.store.put("op", "config", "{not a document")
        time.sleep(0.5)
        yield "unreadable document changes nothing", self.send("/safe/a")[0]
        self.store.put("op", "evacuate/dc-a", {})
        yield "evacuated", self.wait(lambda: self.send("/safe/a")[0] == 503)
        self.store.delete("op", "evacuate/dc-a")
        yield "taken back", self.wait(lambda: self.send("/safe/a")[0] == 200)

    def outage(self):
        """The store is down while a node is killed and restarted."""
        self.store.down = True
        time.sleep(1)
        yield "served", self.send("/safe/a")[0]
        node = self.nodes[1]
        node.stop()
        node.start()
        yield "restarted node is ready", self.wait(node.is_ready)
        yield "and serves", self.wait(
            lambda: self.send("/safe/a", node=1)[0] == 200)
        self.store.down = False
        self.store.calls_to_throttle = 3
        self.store.put("op", "config", desired_state("r5", ROUTES[:1]))
        yield "change after the outage", self.wait(
            lambda: self.send("/once/a", node=1)[0] == 404)

    def restored_store(self):
        """The store comes back from a copy that lacks the last changes."""
        # A node that has not read the store yet knows of no restore.
        # The second one has been restarted while the store was away.
        self.wait(lambda: "table_regained"
                  in self.nodes[1].event_names_since_start())
        self.store.copy()
        for name in [n for n in self.store.copied[0] if n[0] == "kingcupslip"]:
            del self.store.copied[0][name]
        for version in ("r7", "r8", "r9"):
            self.store.put("op", "config", desired_state(version, ROUTES[:2]))
        yield "in force", self.wait(lambda: self.send("/once/a")[0] == 200)
        self.store.down = True
        time.sleep(0.5)
        self.store.restore()
        self.store.down = False
        time.sleep(1)
        yield "still in force", [self.send("/once/a", node=i)[0]
                                 for i in (0, 1)]
        self.store.put("op", "config", desired_state("r9", ROUTES[:2]))
        self.store.put("op", "config", desired_state("r10", ROUTES))
        yield "the next change", [self.wait(
            lambda i=i: self.send("/inner/a", None, node=i)[0] == 200)
            for i in (0, 1)]
        yield "member rows", self.wait(lambda: 2 == sum(
            1 for n in self.store.rows
            if n[0] == "kingcupslip" and n[2].startswith("member/")))
        # A node that backs off has the change from its peer before it asks the
        # store again.
        self.wait(lambda: all("table_restored" in n.event_names()
                              for n in self.nodes))
        yield "logged", [n.event_names().count("table_restored")
                         for n in self.nodes]

    def foreign_rows(self):
        """Rows of another writer in the store, and answers cut short."""
        values = (None, 7, -1.5, 1e300, "text", True, [1], {"a": 1})

        def row(key, /, **more):
            return {"table": "op", "part": "", "key": key, "value": "e30=",
                    "record-version": 1, **more}

        self.store.foreign_rows = [*values, {}] + [
            row(key, **{name: value})
            for key in ("config", "evacuate/dc-a")
            for name in ("key", "value", "record-version", "tombstone")
            for value in values
            # What is left out may be meant by the operator.
            if (name, value) not in (("record-version", 7),
                                     ("tombstone", True))
            and not (key != "config" and name == "value")]
        self.store.compact()  # everything is read again
        self.store.put("op", "config", desired_state("r11", ROUTES[:2]))
        yield "change", [self.wait(
            lambda i=i: self.send("/inner/a", None, node=i)[0] == 404)
            for i in (0, 1)]
        self.nodes[1].stop()
        self.nodes[1].start()
        yield "restarted", self.wait(self.nodes[1].is_ready) and self.wait(
            lambda: self.send("/safe/a", node=1)[0] == 200)
        self.store.foreign_rows = []
        self.store.calls_to_cut = 9
        self.store.put("op", "config", desired_state("r12", ROUTES))
        yield "after cut answers", [self.wait(
            lambda i=i: self.send("/inner/a", None, node=i)[0] == 200)
            for i in (0, 1)]
        yield "same processes", [n.process.poll() for n in self.nodes]

    def reload(self):
        """SIGHUP with unchanged, changed and invalid settings."""
        node = self.nodes[0]
        node.process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        yield "same", self.send("/safe/a")[0]
        node.settings.write("retry_slack: 20\n")
        node.settings.flush()
        node.process.send_signal(signal.SIGHUP)
        yield "changed", self.wait(
            lambda: "settings_reloaded" in node.event_names())
        node.settings.write("no_such_key: 1\n")
        node.settings.flush()
        node.process.send_signal(signal.SIGHUP)
        yield "faulty", self.wait(
            lambda: "settings_unreadable" in node.event_names())
        yield "still served", self.send("/safe/a")[0]
        yield "callers after another service", self.named_callers("deudas")
        yield "and after the first", self.named_callers("svc")
        self.heartbeats_enabled = False
        self.name_service("deudas")
        yield "heartbeat of the earlier service", node.send_heartbeat()
        self.name_service("svc")
        yield "and of the first again", node.send_heartbeat()
        self.heartbeats_enabled = True

    def named_callers(self, service):
        """Returns the services that callers' requests come from once the
        settings of the first node name this one."""
        self.name_service(service)
        for _ in range(20):
            self.send("/safe/a")
        return {s[2]["x-kingcupslip-caller-service"]
                for s in self.requests_seen()[-20:]}

    def name_service(self, service):
        """Has the settings of the first node name the service, without a
        signal."""
        path = pathlib.Path(self.nodes[0].settings.name)
        text = re.sub(r"^service: .*$", f"service: {service}",
                      path.read_text().replace("no_such_key: 1\n", ""),
                      flags=re.MULTILINE)
        replaced = path.with_suffix(".new")
        replaced.write_text(text)
        replaced.replace(path)

    def graceful_stop(self):
        """SIGTERM: requests finish, and the node reports that it drains."""
        node = self.nodes[1]
        for n in self.nodes:
            n.endpoint.delay = 1.0
        got = []
        caller = threading.Thread(
            target=lambda: got.append(self.send("/safe/a", node=1)[0]))
        caller.start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        yield "ready", node.is_ready()
        caller.join()
        yield "its request", got[0]
        yield "exit", node.process.wait(10)
        yield "logged", [n for n in ("node_started", "table_lost",
                                     "node_draining", "node_stopped")
                         if n in node.event_names()]

    def keep_alive_exchange(self, connection, body=b"b", before_answer=None):
        """Sends a request of a long route on an open connection."""
        self.next_id += 1
        try:
            connection.request("POST", "/long/a", body, {
                "Host": "h.example", "X-Api-Key": "key-one",
                "X-Kingcupslip-Request-Id": f"q{self.next_id}",
                "X-Kingcupslip-Request-Deadline": "20000"})
            if before_answer:
                before_answer()
            answer = connection.getresponse()
            return answer.status, len(answer.read())
        except (OSError, http.client.HTTPException) as e:
            return "no answer: " + type(e).__name__

    @staticmethod
    def call_and_get_header(connection, path, name):
        connection.request("GET", path, headers={
            "Host": "h.example", "X-Kingcupslip-Request-Id": "q0"})
        answer = connection.getresponse()
        answer.read()
        return answer.getheader(name)

    def start_again(self, node):
        node.endpoint.delay = 0
        node.start()
        self.wait(node.is_ready)
        connection = http.client.HTTPConnection("127.0.0.1", node.callers,
                                                timeout=20)
        self.wait(lambda: self.keep_alive_exchange(connection)[0] == 200)
        return connection

    def stop_with_requests(self):
        """SIGTERM: kept connections get whole answers before the exit."""
        self.store.put("op", "config", desired_state(
            "r40", [*ROUTES, route("long", "/long/", "non_idempotent",
                                   **{"timeout-s": 30})]))
        node = self.nodes[1]
        early, late, slow = (self.start_again(node) if i == 0 else
                             http.client.HTTPConnection(
                                 "127.0.0.1", node.callers, timeout=20)
                             for i in range(3))
        body = b"x" * 6_000_000
        got = {}

        def run(name, connection, **more):
            got[name] = self.keep_alive_exchange(connection, **more)

        def stop_reading():
            time.sleep(5.5)

        slow.connect()
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262144)
        threads = [threading.Thread(target=run, args=("slow reader", slow),
                                    kwargs={"body": body,
                                            "before_answer": stop_reading})]
        threads[0].start()
        time.sleep(1)
        for n in self.nodes:
            n.endpoint.delay = 10
        threads.append(threading.Thread(target=run,
                                        args=("outlasts the grace", early)))
        threads[1].start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.5)
        yield "connection of an answer", self.call_and_get_header(
            late, "/nowhere/a", "Connection")
        time.sleep(2)
        threads.append(threading.Thread(target=run, args=("taken late", late)))
        threads[2].start()
        exit_status = node.process.wait(10)
        for it in threads:
            it.join()
        for name in sorted(got):
            yield name, got[name] if name != "slow reader" else (
                got[name] == (200, len(b"ran " + body)))
        yield "exit", exit_status

    def stalled_reader(self):
        """Nobody reads a node's log: it still serves requests and stops."""
        node = self.nodes[1]
        for n in self.nodes:
            n.endpoint.delay = 0
        node.start_with_unread_log()
        yield "ready", self.wait(node.is_ready)
        yield "served", self.wait(
            lambda: self.send("/safe/a", node=1)[0] == 200)
        yield "refused", {self.send("/nowhere/a", node=1)[0]
                          for _ in range(100)}
        yield "still served", self.send("/safe/a", node=1)[0]
        node.process.send_signal(signal.SIGTERM)
        yield "exit", node.process.wait(10)
        lines = os.read(node.log_pipe, 1 << 16).decode().split("\n")
        yield "first line", json.loads(lines[0])["name"]

    def run(self):
        failures = 0
        for session in (self.requests, self.faulty_endpoints,
                        self.repeated_refusals, self.promising_statuses,
                        self.target_notices, self.endless_answers,
                        self.cut_answers, self.check_ins, self.foreign_bytes,
                        self.endless_bytes, self.departures, self.pipelines,
                        self.route_preview, self.roll_out,
                        self.reload, self.changes, self.outage,
                        self.restored_store, self.foreign_rows,
                        self.graceful_stop, self.stop_with_requests,
                        self.stalled_reader):
            began = time.monotonic()
            text = "".join(f"{k}: {v}\n" for k, v in session())
            failures += not check_transcript("adapter_" + session.__name__,
                                             text)
            took = int((time.monotonic() - began) * 1000)
            print(f" - {took} ms", flush=True)
        return failures


def main():
    sessions = Sessions()
    try:
        sessions.start()
        failures = sessions.run()
    finally:
        for node in sessions.nodes:
            node.stop()
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
