"""UNASKED: a check-in of another writer, which states a service that isn't in
the desired state, takes the place of the endpoint beside a node."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402
from standins import TOUCH_SECONDS, Client, Fleet  # noqa: E402

CLIENTS_PER_NODE = 4
CALM_SECONDS = 3.0
PLAY_SECONDS = 20.0
FOREIGN_SERVICE = "reports"


def served(answers, path, since):
    """Returns how many of the requests sent since then were served."""
    sent = [a for a in answers if a.path == path and a.sent_at > since]
    return f"{sum(a.status == 200 for a in sent)} of {len(sent)}"


async def play(record, trouble):
    fleet = Fleet(record)
    try:
        front = fleet.add("n1", "stock")
        fleet.add("n2", "orders")
        await fleet.start(standins.config(
            "r1", [("orders", "non_idempotent", "orders"),
                   ("stock", "non_idempotent", "stock")],
            ["orders", "stock"]))
        answers = []
        for node in fleet.nodes:
            for path in ("/orders/1", "/stock/1"):
                for _ in range(CLIENTS_PER_NODE):
                    fleet.spawn(Client(node, record).send_regularly(
                        path, answers))
        await asyncio.sleep(CALM_SECONDS + TOUCH_SECONDS)
        began_at = time.monotonic()
        if trouble:
            acknowledged = await standins.call_control(
                front.control, "Heartbeat", "x-1", {
                    "service": FOREIGN_SERVICE,
                    "address": f"{standins.HOST}:{front.endpoint.port}",
                    "zone": "dc-a", "version": "v1", "slots": 10,
                    "state": "ready", "cold-remaining-s": 0, "sequence": 1,
                    "born": int(time.time() * 1000)})
            record(f"check-in of another writer at {front.name}, service "
                   f"{FOREIGN_SERVICE}, acknowledged: {acknowledged}")
        await asyncio.sleep(PLAY_SECONDS)

        began_with = {a.id: a.node.endpoint.service for a in answers}
        runs = [r for n in fleet.nodes for r in n.endpoint.runs
                if r.at > began_at and r.id in began_with]
        foreign = [r for r in runs if r.caller_service != began_with[r.id]]
        summary = (
            f"{len(foreign)} of {len(runs)} requests ran with a "
            "Caller-Service that isn't the service of the machine where they "
            "began, the last "
            f"{foreign[-1].at - began_at if foreign else 0:.1f} s after the "
            "check-in; served since then: orders "
            f"{served(answers, '/orders/1', began_at)}, stock "
            f"{served(answers, '/stock/1', began_at)}")
        record(summary)
        print(summary)
        return not foreign
    finally:
        await fleet.stop()


sys.exit(standins.main(__file__, play))
