#!/usr/bin/env python3
"""Runs sessions with real processes and compares approved transcripts.

Prints a line "TEST(sessions, NAME) - N ms" for each, as the unit tests do.
Transcripts leave out what changes from run to run. If the environment variable
APPROVE is set, they are written instead.
"""
import json
import os
import pathlib
import re
import socket
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tools"))
import demo_fleet  # noqa: E402

BASELINES = ROOT / "tests" / "baselines" / "sessions"
ANSWER_TIMEOUT_SECONDS = 15
WAIT_TIMEOUT_SECONDS = 30


def exchange(port, data, pause=0.0, chunk=None):
    """Sends raw bytes and returns what is received until the close."""
    with socket.create_connection(("127.0.0.1", port),
                                  ANSWER_TIMEOUT_SECONDS) as s:
        pieces = [data[i:i + chunk] for i in range(0, len(data), chunk)] \
            if chunk else [data]
        try:
            for piece in pieces:
                s.sendall(piece)
                time.sleep(pause)
        except OSError:
            pass
        answer = b""
        try:
            while True:
                got = s.recv(65536)
                if not got:
                    return answer.decode(errors="replace")
                answer += got
        except OSError:
            return answer.decode(errors="replace")


def summary(answer):
    """Returns the status, reason and verdict of an answer."""
    status = answer.split(" ", 2)[1] if answer.startswith("HTTP/") else "none"
    reason = re.search(r'"reason":"([^"]*)"', answer)
    verdict = re.search(r"(?im)^kingcupslip-verdict: *(\S+)", answer)
    return " ".join([status, reason.group(1) if reason else "-",
                     verdict.group(1) if verdict else "-"])


def request(method, target, headers=(), body=b"", length=None):
    lines = [f"{method} {target} HTTP/1.1", "Host: node",
             "Connection: close", *headers,
             f"Content-Length: {len(body) if length is None else length}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Sessions:
    """The demo fleet and the sessions, one method for each."""

    def __init__(self):
        self.fleet = demo_fleet.Fleet()

    def start(self):
        self.fleet.start()
        self.fleet.wait_ready()
        self.fleet.configure()
        self.port = self.fleet.nodes[0].callers
        self.auth = f"Authorization: Bearer {self.fleet.keys['team-a']}"

    def send(self, *args, **kwargs):
        return summary(exchange(self.port, request(*args, **kwargs)))

    def send_until(self, status, port, auth):
        """Sends requests until a change is in force. The time limit for this
        is tested on virtual time, where it doesn't depend on the load of the
        machine."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while True:
            got = summary(exchange(port, request("GET", "/orders/list",
                                                 [auth])))
            if got.startswith(status) or time.monotonic() > deadline:
                return got
            time.sleep(0.2)

    def callers(self):
        """Requests of a caller, answered and refused."""
        yield "whole answer", self.send("POST", "/orders/list", [self.auth],
                                        b"body")
        yield "no key", self.send("GET", "/orders/list")
        yield "wrong key", self.send("GET", "/orders/list",
                                     ["Authorization: Bearer guess"])
        yield "open route", self.send("GET", "/stock/public")
        yield "unknown service", self.send("GET", "/nowhere/x", [self.auth])
        yield "route not in contract", self.send("GET", "/orders/x",
                                                 [self.auth])
        yield "forged context", self.send(
            "GET", "/orders/list", ["Kingcupslip-Context: v1.team-a.k.9.0.9"])
        key = "Idempotency-Key: session-order-1"
        for i in range(3):
            yield f"order, sending {i + 1}", self.send(
                "POST", "/orders/book", [self.auth, key], b"one truck")
        yield "order, other body", self.send(
            "POST", "/orders/book", [self.auth, key], b"two trucks")
        rows = [json.loads(line) for line in open(self.fleet.target_log)]
        runs = [r for r in rows if r["idempotency_key"] == "session-order-1"]
        yield "runs of the order", str(len(runs))
        seen = any(self.fleet.keys["team-a"] in json.dumps(r) for r in rows)
        yield "a target saw the key", str(seen)

    def malformed(self):
        """Malformed input, after each of which the node still serves."""
        big = b"x" * (2 * 1024 * 1024)
        cases = {
            "not HTTP": b"\x00\x01\x02 nonsense\r\n\r\n",
            "bad version": b"GET / HTTP/9.9\r\n\r\n",
            "long head": b"GET /orders/list HTTP/1.1\r\nX: " +
                         b"a" * 40_000 + b"\r\n\r\n",
            "many fields": b"GET /orders/list HTTP/1.1\r\n" +
                           b"X: y\r\n" * 20_000 + b"\r\n",
            "large body": request("POST", "/orders/list", [self.auth], big),
            "bad length": b"POST /orders/list HTTP/1.1\r\n"
                          b"Content-Length: soon\r\n\r\n",
            "bad timeout": request("GET", "/orders/list",
                                   [self.auth, "Kingcupslip-Timeout-Ms: x"]),
            "no path": request("GET", "/", [self.auth]),
            "cut short": request("POST", "/orders/list", [self.auth],
                                 b"ab", length=2)[:-1],
        }
        for name, data in cases.items():
            if name == "cut short":
                with socket.create_connection(("127.0.0.1", self.port)) as s:
                    s.sendall(data)
                yield name, "closed by the caller"
            else:
                yield name, summary(exchange(self.port, data))
            yield "  then", self.send("GET", "/orders/list", [self.auth])
        slow = request("GET", "/orders/list", [self.auth])
        yield "slow trickle", summary(
            exchange(self.port, slow, pause=1.0, chunk=8))
        yield "  then", self.send("GET", "/orders/list", [self.auth])

    def administration(self):
        """Administration with the operators' program, and refused calls."""
        admin = self.fleet.nodes[0].admin
        yield "no token", summary(exchange(
            admin, request("GET", "/v1/contracts")))
        yield "wrong token", summary(exchange(admin, request(
            "GET", "/v1/contracts", ["Authorization: Bearer wrong"])))
        yield "through the callers' port", self.send("GET", "/v1/contracts",
                                                     [self.auth])
        yield "contracts", self.fleet.run_cli("contract", "list",
                                              output="table")
        issued = json.loads(self.fleet.run_cli("key", "issue", "team-a"))
        auth = f"Authorization: Bearer {issued['secret']}"
        yield "new key", self.send_until("200", self.port, auth)
        listed = self.fleet.run_cli("key", "list")
        yield "its secret is listed", str(issued["secret"] in listed)
        self.fleet.run_cli("key", "withdraw", issued["id"])
        for node in self.fleet.nodes:
            yield f"withdrawn, at {node.name}", self.send_until(
                "403", node.callers, auth)

    def bad_settings(self):
        """The errors that the program reports for a settings file."""
        import subprocess
        path = ROOT / "build" / "demo" / "bad.yaml"
        path.write_text("node: N\ncolour: red\nadmin: nowhere\n")
        result = subprocess.run(
            [str(ROOT / "build" / "kingcupslipd"), "--config", str(path),
             "--check-config"], capture_output=True, text=True, check=False)
        yield "exit", str(result.returncode)
        yield "faults", "\n" + result.stderr.replace(str(path), "bad.yaml")

    def platform_outage(self):
        """The table is down; the configuration in force stays in force."""
        control = f"http://127.0.0.1:{self.fleet.table_port}"
        demo_fleet.fetch(control + "/down", "POST")
        time.sleep(1)
        yield "during the outage", self.send("GET", "/orders/list",
                                             [self.auth])
        yield "a change", str("did not answer" in json.dumps(
            self.refused_change()))
        demo_fleet.fetch(control + "/up", "POST")
        time.sleep(2)
        yield "after it", self.send("GET", "/orders/list", [self.auth])

    def refused_change(self):
        import subprocess
        result = subprocess.run(
            [str(ROOT / "build" / "kingcupslip"), "--url",
             self.fleet.admin_url(), "--token", self.fleet.token,
             "--output", "json", "target", "take-out", "nobody"],
            capture_output=True, text=True, check=False)
        return result.stderr

    def run(self):
        failures = 0
        for session in (self.callers, self.malformed, self.administration,
                        self.bad_settings, self.platform_outage):
            began = time.monotonic()
            text = "".join(f"{name}: {value}\n" for name, value in session())
            failures += not check_transcript(session.__name__, text)
            took = int((time.monotonic() - began) * 1000)
            print(f" - {took} ms", flush=True)
        return failures


def check_transcript(name, text):
    """Prints the test's line without its time; returns whether it passed."""
    print(f"TEST(sessions, {name})", end="")
    path = BASELINES / f"{name}.txt"
    if "APPROVE" in os.environ:
        BASELINES.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return True
    approved = path.read_text() if path.exists() else ""
    if text == approved:
        return True
    print(f"\nFailure in TEST(sessions, {name})\n--- approved\n{approved}"
          f"--- now\n{text}")
    return False


def main():
    sessions = Sessions()
    try:
        sessions.start()
        failures = sessions.run()
    finally:
        sessions.fleet.stop()
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
