#!/usr/bin/env python3
"""Starts a small fleet on loopback and, without --serve, puts load on it.

The fleet consists of the table stand-in and, in each of two data centres, two
services with two targets and their nodes. The program starts all processes
itself and stops them by their process ids.
"""
import argparse
import json
import os
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_DIR = ROOT / "build"
WORK_DIR = BUILD_DIR / "demo"
DATA_CENTRES = ("dc-1", "dc-2")
SERVICES = {"orders": {"slots": 8, "service_ms": 8},
            "stock": {"slots": 12, "service_ms": 4}}
TARGETS_PER_SERVICE = 2
IDEMPOTENT_ROUTE = "/orders/list"
NON_IDEMPOTENT_ROUTE = "/orders/book"
OPEN_ROUTE = "/stock/public"
READY_TIMEOUT_SECONDS = 30
LOAD_SECONDS = 24


def log_progress(text):
    print(text, file=sys.stderr, flush=True)


# Below the range of ephemeral ports, so that no outgoing connection can take a
# port between its choice and its use.
FIRST_PORT, LAST_PORT = 10_000, 30_000
_next_port = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT - 1_000)


def free_ports(count):
    """Returns ports that nobody listens on, each of them only once."""
    global _next_port
    ports = []
    while len(ports) < count:
        _next_port += 1
        if _next_port > LAST_PORT:
            _next_port = FIRST_PORT
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", _next_port))
            except OSError:
                continue
        ports.append(_next_port)
    return ports


def fetch(url, method="GET", headers=None, timeout=2):
    request = urllib.request.Request(url, method=method,
                                     headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as e:
        return e.code, e.read().decode()
    except OSError:
        return 0, ""


class Node:
    """A node with its target, their ports and their processes."""

    def __init__(self, data_centre, service, index):
        self.name = f"{service}-{index}-{data_centre}"
        self.data_centre = data_centre
        self.service = service
        (self.callers, self.peers, self.announcements, self.admin,
         self.target) = free_ports(5)
        self.process = None
        self.target_process = None


class Fleet:
    """The processes of the fleet, their settings and their keys."""

    def __init__(self):
        WORK_DIR.mkdir(parents=True, exist_ok=True)
        for stale in WORK_DIR.glob("*"):
            stale.unlink()
        self.secret = secrets.token_hex(16)
        self.token = secrets.token_hex(16)
        self.table_port = free_ports(1)[0]
        self.table = None
        self.target_log = WORK_DIR / "targets.jsonl"
        self.target_log.touch()
        self.nodes = [Node(dc, service, i + 1)
                      for dc in DATA_CENTRES for service in SERVICES
                      for i in range(TARGETS_PER_SERVICE)]

    def spawn(self, name, *command):
        log = open(WORK_DIR / f"{name}.log", "ab")
        return subprocess.Popen([str(c) for c in command], stdout=log,
                                stderr=log, start_new_session=True)

    def settings_file(self, node):
        path = WORK_DIR / f"{node.name}.yaml"
        address = "127.0.0.1:{}".format
        path.write_text(json.dumps({
            "node": node.name, "data_centre": node.data_centre,
            "service": node.service, "target": address(node.target),
            "callers": address(node.callers), "peers": address(node.peers),
            "announcements": address(node.announcements),
            "admin": address(node.admin),
            "table_url": f"http://127.0.0.1:{self.table_port}",
            "fleet_secret": self.secret, "operator_token": self.token,
        }, indent=1))
        return path

    def start_node(self, node):
        node.process = self.spawn(node.name, BUILD_DIR / "kingcupslipd",
                                  "--config", self.settings_file(node))

    def start_target(self, node):
        service_options = SERVICES[node.service]
        node.target_process = self.spawn(
            node.name + "-target", BUILD_DIR / "tests" / "target-service",
            "--name", node.name, "--service", node.service, "--port",
            node.target, "--announce-port", node.announcements,
            "--node-port", node.callers, "--slots", service_options["slots"],
            "--service-ms", service_options["service_ms"],
            "--log", self.target_log)

    def start(self):
        self.table = self.spawn("table", BUILD_DIR / "tests" / "table-service",
                                "--port", self.table_port)
        for node in self.nodes:
            self.start_node(node)
            self.start_target(node)

    def wait_healthy(self, nodes=None):
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for node in nodes or self.nodes:
            while fetch(self.node_url(node) + "/-/healthz")[0] != 200:
                if time.monotonic() > deadline:
                    raise SystemExit(f"{node.name} did not become ready")
                time.sleep(0.1)

    def wait_ready(self):
        """Waits until all nodes are members, all targets are in service and all
        key slots are owned."""
        self.wait_healthy()
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            status = json.loads(self.run_cli("status") or "{}")
            members = [m for m in status.get("members", [])
                       if m["state"] == "alive"]
            ready = (len(members) == len(self.nodes) and
                     all(m["ready"] for m in members) and
                     sum(m["key_slots"] for m in members) >= 64)
            if ready:
                return
            time.sleep(0.2)
        raise SystemExit("the fleet did not settle")

    def node_url(self, node):
        return f"http://127.0.0.1:{node.callers}"

    def admin_url(self):
        return f"http://127.0.0.1:{self.nodes[0].admin}"

    def run_cli(self, *command, output="json", check=False):
        result = subprocess.run(
            [str(BUILD_DIR / "kingcupslip"), "--url", self.admin_url(),
             "--token", self.token, "--output", output, *command],
            capture_output=True, text=True, check=False)
        if check and result.returncode != 0:
            raise SystemExit(" ".join(command) + ": " + result.stderr)
        return result.stdout

    def issue_key(self, team):
        return json.loads(self.run_cli("key", "issue", team,
                                       check=True))["secret"]

    def configure(self):
        for team in ("team-a", "team-b"):
            self.run_cli("contract", "apply",
                         str(ROOT / "examples" / "contracts" /
                             f"{team}.yaml"), check=True)
        self.keys = {team: self.issue_key(team)
                     for team in ("team-a", "team-b")}
        time.sleep(3)

    def stop_process(self, process, timeout_s=30):
        """Asks a process to stop. Returns its exit code, or None if it had to
        be killed."""
        if process is None or process.poll() is not None:
            return process.returncode if process else 0
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return None

    def stop(self):
        """Stops everything gracefully. Returns the names that failed to."""
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGTERM)
        codes = {n.name: self.stop_process(n.process) for n in self.nodes}
        ungraceful = [f"{name} (exit {code})" for name, code in codes.items()
                      if code != 0]
        targets = [n.target_process for n in self.nodes if n.target_process]
        for process in targets:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in targets:
            self.stop_process(process)
        self.stop_process(self.table)
        return ungraceful

    def write_env(self):
        values = {
            "NODE_URLS": ",".join(map(self.node_url, self.nodes)),
            "ADMIN_URL": self.admin_url(),
            "OPERATOR_TOKEN": self.token,
            "TEAM_A_KEY": self.keys["team-a"],
            "TEAM_B_KEY": self.keys["team-b"],
            "IDEMPOTENT_ROUTE": IDEMPOTENT_ROUTE,
            "NON_IDEMPOTENT_ROUTE": NON_IDEMPOTENT_ROUTE,
            "OPEN_ROUTE": OPEN_ROUTE,
            "TARGET_LOG": self.target_log,
            "PLATFORM_CONTROL_URL": f"http://127.0.0.1:{self.table_port}",
            "NODE_PIDS": ",".join(str(n.process.pid) for n in self.nodes),
            "TARGET_PIDS": ",".join(str(n.target_process.pid)
                                    for n in self.nodes),
        }
        path = WORK_DIR / "fleet.env"
        path.with_suffix(".tmp").write_text(
            "".join(f"{k}={v}\n" for k, v in values.items()))
        path.with_suffix(".tmp").rename(path)
        return path


def start_load(fleet, seconds):
    a, b = fleet.keys["team-a"], fleet.keys["team-b"]
    command = [BUILD_DIR / "bench" / "load", "--seconds", seconds,
               "--target-log", fleet.target_log]
    for node in fleet.nodes:
        command += ["--url", fleet.node_url(node)]
    for stream in (f"a-book,{a},{NON_IDEMPOTENT_ROUTE},30,once",
                   f"a-list,{a},{IDEMPOTENT_ROUTE},40",
                   f"a-confirm,{a},/orders/confirm-dispatch,10",
                   f"b-list-10x,{b},{IDEMPOTENT_ROUTE},600",
                   f"open,,{OPEN_ROUTE},10"):
        command += ["--stream", stream]
    return subprocess.Popen([str(c) for c in command],
                            stdout=subprocess.PIPE, text=True)


def start_direct_load(fleet, seconds):
    """Starts calls directly to the targets, to compare the latencies."""
    command = [BUILD_DIR / "bench" / "load", "--seconds", seconds,
               "--stream", "direct,,/list,20"]
    for node in fleet.nodes:
        if node.service == "orders":
            command += ["--url", f"http://127.0.0.1:{node.target}"]
    return subprocess.Popen([str(c) for c in command],
                            stdout=subprocess.PIPE, text=True)


def print_added_latency(streams, direct):
    through = next(s for s in streams if s["name"] == "a-list")
    added = {p: through[p] - direct[p] for p in ("p50_ms", "p99_ms")}
    print(f"added latency, lists against direct calls: "
          f"p50 {added['p50_ms']:.2f} ms, p99 {added['p99_ms']:.2f} ms "
          f"(while every node is replaced)")


def rolling_restart(fleet):
    """Replaces all nodes under load, one of each data centre at a time. Returns
    the nodes that did not stop gracefully."""
    ungraceful = []
    rounds = zip(*[[n for n in fleet.nodes if n.data_centre == dc]
                   for dc in DATA_CENTRES])
    for nodes in rounds:
        for node in nodes:
            node.process.send_signal(signal.SIGTERM)
        for node in nodes:
            if fleet.stop_process(node.process) != 0:
                ungraceful.append(node.name)
            fleet.start_node(node)
        fleet.wait_healthy(nodes)
        log_progress(f"  replaced {', '.join(n.name for n in nodes)}")
        # The target of a new node is in service once it has announced itself.
        time.sleep(1)
    return ungraceful


def print_streams(streams):
    for s in streams:
        print(f"{s['name']:12} sent {s['sent']:6} good {s['good']:6} "
              f"p50 {s['p50_ms']:7.2f} ms p99 {s['p99_ms']:7.2f} ms "
              f"lost {s['lost']} moved {s['moved']} resent {s['resent']} "
              f"crossed {s['crossed']} "
              f"untrue {s['untrue']} doubled {s['doubled']} "
              f"refused {json.dumps(s['refused'])}")


def run_demo(fleet):
    log_progress(f"load for {LOAD_SECONDS} s; team-b at ten times its rate")
    load = start_load(fleet, LOAD_SECONDS)
    direct_load = start_direct_load(fleet, LOAD_SECONDS)
    time.sleep(3)
    log_progress("replacing every node meanwhile")
    ungraceful = rolling_restart(fleet)
    while load.poll() is None:
        time.sleep(2)
        log_progress(
            f"  {sum(1 for _ in open(fleet.target_log))} runs at targets")
    streams = json.loads(load.stdout.read())
    print(fleet.run_cli("report", output="table"))
    print_streams(streams)
    print_added_latency(streams, json.loads(direct_load.stdout.read())[0])
    wrong = sum(s["lost"] + s["crossed"] + s["untrue"] + s["doubled"]
                for s in streams)
    good = sum(s["good"] for s in streams)
    log_progress("stopping everything gracefully")
    ungraceful += fleet.stop()
    print(f"goodput {good / LOAD_SECONDS:.1f}/s; wrong answers {wrong}; "
          f"nodes that did not stop gracefully: {ungraceful or 'none'}")
    return 0 if wrong == 0 and not ungraceful and good > 0 else 1


def serve(fleet):
    stopping = []
    signal.signal(signal.SIGTERM, lambda *_: stopping.append(1))
    signal.signal(signal.SIGINT, lambda *_: stopping.append(1))
    log_progress(f"ready: {fleet.write_env()}")
    while not stopping:
        time.sleep(0.2)
    return 1 if fleet.stop() else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true",
                        help="no load; run until SIGTERM or SIGINT")
    options = parser.parse_args()
    fleet = Fleet()
    log_progress("starting the table, 8 targets and their nodes")
    try:
        fleet.start()
        fleet.wait_ready()
        log_progress("applying two contracts and issuing keys")
        fleet.configure()
        code = serve(fleet) if options.serve else run_demo(fleet)
    except BaseException:
        fleet.stop()
        raise
    sys.exit(code)


if __name__ == "__main__":
    main()
