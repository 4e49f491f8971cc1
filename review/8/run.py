"""A node takes a client's request more than 3 s after its SIGTERM and breaks
it off while its endpoint is at work on it."""
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

SERVICES = ("avisador", "historico")
STATE = s.desired_state("r3", [
    s.route("r-emitir", "/emitir/", "non_idempotent", "avisador"),
    s.route("r-hist", "/hist/", "idempotent", "historico", public=True)],
    SERVICES)
WORK_SECONDS = {"/emitir/": 4.5, "/hist/": 2.4, "/hist/warm": 0.02}
SENT_AFTER_SIGTERM = 3.3  # seconds; later than the rule's 3 s


def play(folder):
    with s.Fleet(folder, [("n1", "avisador", "zone-a"),
                          ("n2", "historico", "zone-b")], STATE) as fleet:
        n1, n2 = fleet.nodes
        for n in fleet.nodes:
            n.endpoint.work = lambda call: next(
                t for p, t in sorted(WORK_SECONDS.items(), reverse=True)
                if call.path.startswith(p))
        if not fleet.wait_ready():
            raise RuntimeError("the nodes are not ready")
        time.sleep(3.5)  # touch-s
        for i in range(5):
            if n1.send(f"warm{i}", "/hist/warm", "GET", key=None)[0] != 200:
                raise RuntimeError("not served before the disruption")
        # The only machine of its zone: clients go on when it isn't ready.
        long_request = s.in_thread(n1.send, "long", "/emitir/1")
        time.sleep(0.2)
        if s.trouble():
            n1.signal(signal.SIGTERM)
        term_at = time.monotonic()
        time.sleep(SENT_AFTER_SIGTERM)
        status, fields, _ = n1.send("late", "/hist/1", "GET", key=None)
        ended = time.monotonic() - term_at
        fleet.record(f"'late' ended {ended:.2f} s after the SIGTERM: {status}")
        long_request()
        runs = [r for r in n2.endpoint.runs if r[0] == "late"]
        whole = (status == 200
                 and fields.get("x-kingcupslip-server-signature")
                 == "signed-late")
        fleet.record(f"runs of 'late': {len(runs)}, whole answer: {whole}")
        return bool(runs) and not whole


s.main(play)
