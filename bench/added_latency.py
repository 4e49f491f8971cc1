#!/usr/bin/env python3
"""Measures the latency that nodes add to a call, against direct calls.

Two equal loads run at the same time, one directly to the targets and one
through the nodes. Callers use the nodes in turn, so that they reach the node
of the chosen target only by chance.
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
import demo_fleet  # noqa: E402

RATE_PER_S = 200
DURATION_SECONDS = 15
CONTRACT = """
team: team-a
rate_per_s: 5000
burst: 2000
routes:
  - {service: orders, path: /list}
"""


def start_load(ports, path, key):
    command = [str(demo_fleet.BUILD_DIR / "bench" / "load"), "--seconds",
               str(DURATION_SECONDS), "--stream",
               f"s,{key},{path},{RATE_PER_S}"]
    for port in ports:
        command += ["--url", f"http://127.0.0.1:{port}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def main():
    fleet = demo_fleet.Fleet()
    try:
        fleet.start()
        fleet.wait_ready()
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as f:
            f.write(CONTRACT)
            f.flush()
            fleet.run_cli("contract", "apply", f.name, check=True)
        key = fleet.issue_key("team-a")
        time.sleep(3)
        orders = [n for n in fleet.nodes if n.service == "orders"]
        for warm_up in (True, False):
            direct = start_load([n.target for n in orders], "/list", "")
            through = start_load([n.callers for n in orders], "/orders/list",
                                 key)
            results = {name: json.loads(p.stdout.read())[0]
                       for name, p in (("direct", direct),
                                       ("through", through))}
        for name, r in results.items():
            print(f"{name:8} sent {r['sent']} good {r['good']} "
                  f"p50 {r['p50_ms']:.3f} ms p99 {r['p99_ms']:.3f} ms")
        for node in orders:
            text = demo_fleet.fetch(fleet.node_url(node) + "/-/metrics")[1]
            limit = [line for line in text.split("\n")
                     if line.startswith("kingcupslip_target_limit ")]
            print(f"{node.name}: {limit[0]}")
        for p in ("p50_ms", "p99_ms"):
            print(f"added {p[:3]}: "
                  f"{results['through'][p] - results['direct'][p]:.3f} ms")
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
