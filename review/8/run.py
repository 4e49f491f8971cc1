"""All processes are killed after an endpoint's goodbye was acknowledged; a
check-in that it had sent before brings it back into service."""
import json
import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

STATE = s.desired_state("r3", [
    s.route("r-emitir", "/emitir/", "non_idempotent", "avisador")],
    ("avisador", "historico"))
DRAIN_SECONDS = 2.0  # drain-s
TOUCH_SECONDS = 3.0  # touch-s
KILL_AFTER, START_AFTER = 0.5, 0.3
LATE_AFTER = 4.0  # of the check-in, after the acknowledgement
SERVES_FOR = 9.0  # "at times many seconds"


def play(folder):
    with s.Fleet(folder, [("n1", "avisador", "zone-a"),
                          ("n2", "avisador", "zone-b"),
                          ("n3", "historico", "zone-a")], STATE) as fleet:
        n1, n2, n3 = fleet.nodes
        if not fleet.wait_ready():
            raise RuntimeError("the nodes are not ready")
        time.sleep(4)  # touch-s
        for i in range(10):
            if n3.send(f"before{i}", "/emitir/1")[0] != 200:
                raise RuntimeError("not served before the disruption")
        leaving = n1.endpoint
        leaving.beating = False
        leaving.sequence += 1
        late = json.dumps({
            "service": leaving.service, "address": leaving.address,
            "zone": leaving.zone, "version": "v1", "slots": 50,
            "state": "ready", "cold-remaining-s": 0,
            "sequence": leaving.sequence, "born": leaving.born}).encode()
        fleet.record("the endpoint of n1 sends a check-in that is late")
        time.sleep(0.2)
        leaving.sequence += 1
        status = leaving.say("Deregister", {"born": leaving.born})
        if status != 200:
            raise RuntimeError("the goodbye was not acknowledged")
        acknowledged = time.monotonic()
        fleet.record("n1 acknowledges the goodbye of its endpoint")
        in_touch = acknowledged
        if s.trouble():
            time.sleep(KILL_AFTER)
            for n in fleet.nodes:
                n.signal(signal.SIGKILL)
            for n in fleet.nodes:
                n.process.wait()
            time.sleep(START_AFTER)
            for n in fleet.nodes:
                n.start()
            in_touch = time.monotonic() + TOUCH_SECONDS
            fleet.record("all nodes start again")

        def arrive_late():
            time.sleep(max(0, acknowledged + LATE_AFTER - time.monotonic()))
            got = s.http(n1.control, "POST", "/Instances.Heartbeat/"
                         + leaving.instance, late, timeout=1)[0]
            fleet.record(f"the late check-in arrives at n1: {got}")

        threading.Thread(target=arrive_late, daemon=True).start()
        i = 0
        results = []
        while time.monotonic() < acknowledged + SERVES_FOR:
            for n in (n2, n3):
                i += 1
                results.append(s.in_thread(n.send, f"after{i}", "/emitir/1"))
            time.sleep(0.1)
        for it in results:
            it()
        bound = max(acknowledged + DRAIN_SECONDS, in_touch)
        reached = [r for r in leaving.runs if r[1] > bound]
        fleet.record(f"requests that reached the endpoint of n1 later than "
                     f"{bound - acknowledged:.2f} s after the acknowledgement: "
                     f"{len(reached)}")
        return bool(reached)


s.main(play)
