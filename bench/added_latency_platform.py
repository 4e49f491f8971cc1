#!/usr/bin/env python3
"""Measures the latency that nodes on the users' platform add to a call,
against direct calls, with real nodes and targets and a stand-in for the store.

Two equal loads run at the same time, one directly to the targets and one
through the nodes. Callers use the nodes in turn, so that they reach the node
of the chosen target only by chance.
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "tests" / "standins")]
import demo_fleet  # noqa: E402
import platform_standin  # noqa: E402

BUILD = ROOT / "build"
NODES = 3
RATE_PER_S = 200
DURATION_SECONDS = 15
SERVICE_MS = 8
HEARTBEAT_INTERVAL_SECONDS = 0.5
STATE = {"version": "r1", "resources": [
    {"resource-kind": "routes", "metadata": {"name": "list"},
     "spec": {"host": "127.0.0.1", "prefix": "/list/", "kind": "idempotent",
              "timeout-s": 3, "target-latency-s": 1, "priority": 1,
              "service": "orders", "max-attempts": 2, "public": True}},
    {"resource-kind": "services", "metadata": {"name": "orders"},
     "spec": {"health-path": "/health", "max-connections": 200,
              "cold-start-s": 1.0, "cold-per-s": 50}}]}


class Node:
    """A node with its target. Heartbeats of the target are sent here."""

    def __init__(self, n, store_port, log):
        (self.callers, self.ready, self.control, peers, metrics, self.target,
         unused) = demo_fleet.free_ports(7)
        self.instance = f"i-{n}"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.settings = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        addresses = {"target": self.target, "callers": self.callers,
                     "readiness": self.ready, "announcements": self.control,
                     "peers": peers, "metrics": metrics, "store": store_port}
        self.settings.write(
            f"node: n{n}\ndata_centre: dc-a\nservice: orders\n"
            "fleet_secret: secret-of-the-fleet-x\n" + "".join(
                f"{k}: 127.0.0.1:{v}\n" for k, v in addresses.items()))
        self.settings.flush()
        self.processes = [
            subprocess.Popen(
                [str(BUILD / "tests" / "target-service"), "--name", f"t{n}",
                 "--service", "orders", "--port", str(self.target),
                 "--announce-port", str(unused), "--node-port",
                 str(self.callers), "--slots", "100", "--service-ms",
                 str(SERVICE_MS), "--log", log],
                stdout=subprocess.DEVNULL),
            subprocess.Popen(
                [str(BUILD / "kingcupslip-platform"), "--config",
                 self.settings.name], stdout=subprocess.DEVNULL)]

    def send_heartbeat(self):
        self.sequence += 1
        body = {"service": "orders", "address": f"127.0.0.1:{self.target}",
                "zone": "dc-a", "version": "v1", "slots": 100,
                "state": "ready", "cold-remaining-s": 0, "born": self.born,
                "sequence": self.sequence}
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.control}/Instances.Heartbeat/"
            f"{self.instance}", json.dumps(body).encode(),
            {"Content-Type": "application/json"})
        urllib.request.urlopen(request, timeout=2).close()


def send_heartbeats(nodes):
    while True:
        for node in nodes:
            try:
                node.send_heartbeat()
            except OSError:
                pass  # the node has not started yet or has stopped
        time.sleep(HEARTBEAT_INTERVAL_SECONDS)


def start_load(ports):
    command = [str(BUILD / "bench" / "load"), "--seconds",
               str(DURATION_SECONDS), "--id-header",
               "X-Kingcupslip-Request-Id", "--stream",
               f"s,,/list/x,{RATE_PER_S}"]
    for port in ports:
        command += ["--url", f"http://127.0.0.1:{port}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def main():
    store_port = demo_fleet.free_ports(1)[0]
    store = platform_standin.Store(store_port)
    store.put("op", "config", STATE)
    log = tempfile.NamedTemporaryFile("w", suffix=".log")
    nodes = [Node(n, store_port, log.name) for n in range(NODES)]
    threading.Thread(target=send_heartbeats, args=[nodes],
                     daemon=True).start()
    try:
        time.sleep(4)
        for _warm_up in (True, False):
            direct = start_load([n.target for n in nodes])
            through = start_load([n.callers for n in nodes])
            results = {name: json.loads(p.communicate()[0])[0]
                       for name, p in (("direct", direct),
                                       ("through", through))}
        for name, r in results.items():
            print(f"{name:8} sent {r['sent']} good {r['good']} "
                  f"p50 {r['p50_ms']:.3f} ms p99 {r['p99_ms']:.3f} ms")
        for p in ("p50_ms", "p99_ms"):
            print(f"added {p[:3]}: "
                  f"{results['through'][p] - results['direct'][p]:.3f} ms")
    finally:
        for node in nodes:
            for process in node.processes:
                process.kill()
                process.wait()


if __name__ == "__main__":
    main()
