"""DRAIN: the goodbye of an endpoint that has started again under its id is
acknowledged, and requests go on reaching it."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_3 import DRAIN_S, Fleet, main, route, wait_until  # noqa: E402

DOWN_S = 1.5
GOODBYE_AFTER_START_S = 0.6
CHECK_IN_LATE_S = 3.0
SERVES_AFTER_GOODBYE_S = 6.0
REQUEST_INTERVAL_S = 0.1


def play(record, trouble):
    fleet = Fleet(record, ["orders", "orders"], work_s=0.05)
    try:
        fleet.start([route("book", "/book/", "non_idempotent", "orders")])
        return leave(fleet, record, trouble)
    finally:
        fleet.stop()


def leave(fleet, record, trouble):
    node, other = fleet.nodes
    endpoint = node.endpoint
    wait_until(lambda: fleet.send(node, "POST", "/book/x")[1] == 200
               and endpoint.runs and other.endpoint.runs,
               "the endpoints do not serve")
    endpoint.paused = True
    time.sleep(0.2)
    endpoint.check_in()
    time.sleep(0.2)
    endpoint.crash()
    time.sleep(DOWN_S)
    endpoint.start_again()
    # The first check-in of the new lifetime.
    delay_s = CHECK_IN_LATE_S if trouble else 0.0
    body = endpoint.next_check_in()
    threading.Timer(delay_s, lambda: record.write(
        f"{endpoint.instance}: check-in of the new lifetime, {delay_s} s late,"
        f" answered {endpoint.send_check_in(body)}")).start()
    time.sleep(GOODBYE_AFTER_START_S)
    endpoint.runs.clear()
    if endpoint.leave() != 200:
        record.write("the goodbye was not acknowledged")
        return []
    acknowledged_at = time.monotonic()
    threads = []
    while time.monotonic() - acknowledged_at < SERVES_AFTER_GOODBYE_S:
        threads.append(threading.Thread(
            target=fleet.send,
            args=(node, "POST", "/book/x", b"order", "order")))
        threads[-1].start()
        time.sleep(REQUEST_INTERVAL_S)
    endpoint.end()
    for it in threads:
        it.join()
    fleet.check_alive()
    late = [at - acknowledged_at for at, *_ in endpoint.runs
            if at - acknowledged_at > DRAIN_S]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached the endpoint {late[0]:.2f} "
            f"to {late[-1]:.2f} s after its goodbye was acknowledged (drain-s "
            f"is {DRAIN_S})"]


main(play, HERE)
