"""Stand-ins for the users' platform: its metadata store and its endpoints.

They implement the published calls that the adapter uses and record what they
receive.
"""
import base64
import json
import sys
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

NOT_EXECUTED = ("X-Kingcupslip-Not-Executed", "1")
STRAY_LEAD_SECONDS = 0.1  # from a repeated refusal to the answer that is due
NO_ANSWER_SECONDS = 3.0  # longer than the callers of the sessions wait


class QuietHandler(BaseHTTPRequestHandler):
    """Answers requests without a log."""

    protocol_version = "HTTP/1.1"
    refused_id = None  # of the last request refused on the connection

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"", headers=()):
        try:
            self.send_response(status)
            for name, value in headers:
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


class Server(ThreadingHTTPServer):
    """Ignores connections that the other side has closed."""

    daemon_threads = True

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def serve(port, handler):
    server = Server(("127.0.0.1", port), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """Store of versioned rows with transactions and a feed of changes, whose
    history can be dropped, and which can go back to a copy."""

    def __init__(self, port):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.oldest_history_version = 0
        self.era = 1  # rises by one each time a copy is brought back
        self.changed = threading.Condition()
        self.down = False
        self.delay_s = 0  # before each answer
        self.answers_to_lose = 0  # writes that take effect without an answer
        self.calls_to_throttle = 0  # calls answered 429
        self.calls_to_cut = 0  # calls whose answer ends early
        self.foreign_rows = []  # of another writer, in each answer with rows
        self.foreign_answer = None  # the body of each answer
        self.calls = {}
        store = self

        class Handler(QuietHandler):
            def do_GET(self):
                store.handle(self)

            do_POST = do_GET

        serve(port, Handler)

    def put(self, table, key, value):
        """Writes a row as an operator does."""
        with self.changed:
            self.version += 1
            self.set_row((table, "", key), value)
            self.changed.notify_all()

    def delete(self, table, key):
        with self.changed:
            self.version += 1
            self.set_row((table, "", key), None)
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            self.copied = (dict(self.rows), list(self.changes), self.version)

    def restore(self):
        """Brings the copy back; versions are given out again."""
        with self.changed:
            self.rows, self.changes, self.version = self.copied
            self.oldest_history_version = 0
            self.era += 1
            self.changed.notify_all()

    def compact(self):
        with self.changed:
            self.version += 1
            self.oldest_history_version = self.version
            self.changed.notify_all()

    def value(self, table, key):
        """Returns a row as an operator reads it; None if there is none."""
        with self.changed:
            row = self.rows.get((table, "", key))
        return row and json.loads(base64.b64decode(row["value"]))

    def set_row(self, name, value):
        row = {"table": name[0], "part": name[1], "key": name[2],
               "record-version": self.version}
        if value is None:
            self.rows.pop(name, None)
            row["tombstone"] = True
        else:
            text = value if isinstance(value, str) else json.dumps(value)
            row["value"] = base64.b64encode(text.encode()).decode()
            self.rows[name] = row
        self.changes.append(row)

    def handle(self, call):
        body = call.body()
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.changed:
            self.calls[url.path] = self.calls.get(url.path, 0) + 1
        era = ("Store-Era", str(self.era))
        time.sleep(self.delay_s)
        if self.down:
            call.reply(503, headers=[era])
            return
        if self.calls_to_throttle > 0:
            self.calls_to_throttle -= 1
            call.reply(429, headers=[era])
            return
        if url.path == "/rows-tx":
            status, out = self.commit(json.loads(body))
            if self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                call.close_connection = True
                return
        elif url.path == "/rows-get":
            status, out = self.read(query)
        elif url.path == "/rows-feed":
            status, out = self.feed(query)
        else:
            status, out = 404, {}
        out["now-s"] = time.monotonic()
        if "rows" in out and status == 200:
            out["rows"] = self.foreign_rows + out["rows"]
        if self.foreign_answer is not None:
            call.reply(200, self.foreign_answer, [era])
            return
        if self.calls_to_cut > 0:
            self.calls_to_cut -= 1
            body = json.dumps(out).encode()
            head = (f"HTTP/1.1 200 OK\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n").encode()
            # In turn within the head, before the body and within it.
            cut = (30, len(head), len(head) + len(body) - 1)
            call.wfile.write((head + body)[:cut[self.calls_to_cut % 3]])
            call.close_connection = True
            return
        call.reply(status, json.dumps(out).encode(),
                   [("Content-Type", "application/json"),
                    ("Store-Era", str(self.era))])

    def commit(self, body):
        with self.changed:
            named = [(tuple(e[n] for n in ("table", "part", "key")), e)
                     for e in body["expect"]]
            for name, e in named:
                current_version = self.rows.get(name, {}).get(
                    "record-version", 0)
                if current_version != e["record-version"]:
                    return 412, {"rows": [self.rows[n] for n, _ in named
                                          if n in self.rows]}
            writes = body["puts"] + body["remove"]
            if any(e["table"] in ("op", "servers") for e in writes):
                return 403, {}
            self.version += 1
            for e in body["puts"]:
                self.set_row((e["table"], e["part"], e["key"]),
                             base64.b64decode(e["value"]).decode())
            for e in body["remove"]:
                self.set_row((e["table"], e["part"], e["key"]), None)
            self.changed.notify_all()
            return 200, {"record-version": self.version}

    def read(self, query):
        with self.changed:
            limit = min(int(query.get("limit", 500)), 500)
            rows = [self.rows[n] for n in sorted(self.rows)
                    if n[0] == query["table"]
                    and n[1] == query.get("part", "")
                    and n[2] >= query.get("from", "")
                    and ("target" not in query or n[2] < query["target"])]
            return 200, {"rows": rows[:limit], "has-more": len(rows) > limit,
                         "record-version": self.version}

    def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait-ms"]) / 1000
        with self.changed:
            while True:
                if not self.oldest_history_version <= after <= self.version:
                    return 410, {}
                rows = [r for r in self.changes
                        if r["table"] == query["table"]
                        and r["record-version"] > after]
                left = deadline - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows,
                                 "record-version": self.version}
                self.changed.wait(left)


class Endpoint:
    """Runs requests, signs its answers and makes heartbeats."""

    def __init__(self, port, service, instance):
        self.address = f"127.0.0.1:{port}"
        self.service = service
        self.version = "v1"
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.requests = []
        self.delay = 0.0
        self.status = 200  # of the answers to requests that ran
        self.answers_to_truncate = 0  # answers that end early
        self.answers_to_repeat = 0  # answers that another one follows
        self.refuses = False  # answers that the request was not run
        self.refusals = 0
        # An earlier refusal on the connection, sent before the next answers:
        # "with its id", "without an id", or "alone" (without an id, and
        # no answer follows)
        self.repeats_refusal = None
        self.cut_answer = None  # the bytes after which each answer ends
        self.stated = []  # header fields about itself in each answer
        self.endless_answer = None  # its start, and what is repeated after it
        endpoint = self

        class Handler(QuietHandler):
            def do_GET(self):
                endpoint.handle(self)

            do_POST = do_GET
            do_PUT = do_GET

        serve(port, Handler)

    def handle(self, call):
        body = call.body()
        fields = {k.lower(): v for k, v in call.headers.items()}
        request_id = fields.get("x-kingcupslip-request-id", "")
        echo = [("X-Kingcupslip-Request-Id", request_id)]
        if fields.get("x-kingcupslip-expected-instance") != self.instance:
            call.reply(421, b"", [*echo, NOT_EXECUTED])
            return
        if self.refuses:
            self.refusals += 1
            call.refused_id = request_id
            call.reply(503, b"", [*echo, NOT_EXECUTED])
            return
        self.requests.append((call.command, call.path, fields, body,
                              time.monotonic()))
        if self.repeats_refusal and call.refused_id:
            self.repeat_refusal(call)
            if self.repeats_refusal == "alone":
                time.sleep(NO_ANSWER_SECONDS)
                call.close_connection = True
                return
        if self.delay:
            time.sleep(self.delay)
        echo.append(("X-Kingcupslip-Server-Signature", "signed"))
        echo += self.stated
        if self.endless_answer:
            start, repeated = self.endless_answer
            call.close_connection = True
            call.wfile.write(start)
            while True:  # until the node closes the connection
                call.wfile.write(repeated * 10000)
        if self.cut_answer is not None:
            call.close_connection = True
            call.wfile.write(self.cut_answer(request_id))
            return
        if self.answers_to_truncate > 0:
            self.answers_to_truncate -= 1
            call.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nab")
            call.close_connection = True
            return
        call.reply(self.status, b"ran " + body, echo)
        if self.answers_to_repeat > 0:
            self.answers_to_repeat -= 1
            call.reply(200, b"late", [("X-Kingcupslip-Request-Id", "other")])

    def repeat_refusal(self, call):
        old_id = ([("X-Kingcupslip-Request-Id", call.refused_id)]
                  if self.repeats_refusal == "with its id" else [])
        call.reply(503, b"", [*old_id, NOT_EXECUTED])
        time.sleep(STRAY_LEAD_SECONDS)

    def next_heartbeat(self, **changed):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": "dc-a", "version": self.version, "slots": 8,
                "state": "ready", "cold-remaining-s": 0,
                "sequence": self.sequence, "born": self.born, **changed}
