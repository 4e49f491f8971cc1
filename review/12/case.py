"""EVAC: of two zones that the operator empties in one transaction, one goes on
getting requests."""
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_3 import Fleet, main, route, wait_until  # noqa: E402

EVACUATION_S = 5.0
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]
EMPTIED = ["zone-b", "zone-c"]
ROUNDS = 40  # one request at each node in each
ROUND_S = 0.25


def play(record, trouble):
    fleet = Fleet(record, ["orders"] * len(ZONES), ZONES, work_s=0.05)
    try:
        fleet.start([route("book", "/book/", "non_idempotent", "orders")])
        return evacuate(fleet, record, trouble)
    finally:
        fleet.stop()


def evacuate(fleet, record, trouble):
    for n in fleet.nodes:
        wait_until(lambda: fleet.send(n, "POST", "/book/x")[1] == 200,
                   "the endpoints do not serve")
    marks = {f"evacuate/{zone}": {} for zone in EMPTIED}
    if trouble:
        fleet.store.put_all("op", marks)
    else:
        for key, value in marks.items():
            fleet.store.put("op", key, value)
    acknowledged_at = time.monotonic()
    record.write(f"operator: empties {', '.join(EMPTIED)} in "
                 f"{'one' if trouble else 'two'} transaction(s), acknowledged")
    for _ in range(ROUNDS):
        for n in fleet.nodes:
            fleet.send(n, "POST", "/book/x", b"order", "order")
        time.sleep(ROUND_S)
    fleet.check_alive()
    faults = []
    for n in fleet.nodes:
        late = [at - acknowledged_at for at, *_ in n.endpoint.runs
                if at - acknowledged_at > EVACUATION_S]
        record.write(f"{n.endpoint.zone}: {len(late)} requests later than "
                     f"{EVACUATION_S} s after the acknowledgement")
        if n.endpoint.zone in EMPTIED and late:
            faults.append(f"EVAC: the endpoint in {n.endpoint.zone} got "
                          f"{len(late)} requests {late[0]:.2f} to "
                          f"{late[-1]:.2f} s after its evacuation was "
                          f"acknowledged (evacuation-s is {EVACUATION_S})")
    return faults


main(play, HERE)
