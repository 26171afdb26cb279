"""Measure the decisions: the real core in virtual time, against small models of engines.

python -m cloverway.tests.bench_policy [shared peaks overload faults refusals]
"""

from __future__ import annotations

import math
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from statistics import mean

from cloverway.dispatch.dispatcher import Dispatcher
from cloverway.membership.view import ViewHolder
from cloverway.messages import Admitted
from cloverway.tests.bench_model import Plan, World, make_settings


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("inf")


def measure(plan, policy, seed):
    """Run once and give the figures of the calls that came after the warm-up."""
    every = World(plan, policy, seed).run()
    calls = [call for call in every if plan.warm_s <= call.request.arrived_at]
    done = [call for call in calls if call.done_at and call.done_at <= call.request.deadline]
    urgent = [call for call in done if call.request.profile == "urgent"]
    span = plan.seconds - 15 - plan.warm_s
    slots = plan.slots * sum(plan.endpoints)
    return {
        "p50": quantile([first_s(call) for call in done], 0.5),
        "p99": quantile([first_s(call) for call in done], 0.99),
        "whole p99": quantile([call.done_at - call.request.arrived_at for call in done], 0.99),
        "urgent p99": quantile([call.done_at - call.request.arrived_at for call in urgent], 0.99),
        "hits": sum(call.hit for call in done) / max(1, len(done)),
        "away": sum(call.away for call in done) / max(1, len(done)),
        "in time": len(done) / len(calls),
        "goodput": sum(hold_s(plan, call) for call in every) / (span * slots),
        "late": sum(call.done_at is not None for call in calls) - len(done),
        "batch in time": share_done(calls, "dossier"),
        "attempts": mean(call.attempts for call in calls if call.attempts or call.refused is None),
        "recover_s": find_recovery(calls),
    }


def hold_s(plan, call):
    """Give the slot seconds of an answer that came in time, while requests arrived."""
    if not call.done_at or call.done_at > call.request.deadline:
        return 0.0
    end = min(call.done_at, plan.seconds - 15)
    return max(0.0, end - max(call.started_at, plan.warm_s))


def first_s(call):
    return call.first_at - call.request.arrived_at


def share_done(calls, profile):
    mine = [call for call in calls if call.request.profile == profile]
    return sum(call.done_at is not None for call in mine) / max(1, len(mine))


def find_recovery(calls, fault_at=30.0, part=0.99):
    """Give the seconds after a fault from which on each second's calls are served again."""
    served, all_calls = Counter(), Counter()
    for call in calls:
        second = int(call.request.arrived_at - fault_at)
        all_calls[second] += 1
        served[second] += call.done_at is not None and call.done_at <= call.request.deadline
    bad = [s for s, count in all_calls.items() if s >= 0 and served[s] < part * count]
    return float(max(bad) + 1) if bad else 0.0


CLASSES = (("urgent", 8.0),)
PEAKS = Plan((4, 3, 3), 2, rates=(("chat", 20.0),), swing=0.8, period_s=60, seconds=95, prefixes=48)
FAULTY = Plan((4,), rates=(("chat", 16.0),), seconds=90, prefixes=48)
BASELINES = ("random", "round_robin", "least_outstanding")
EVERYWHERE = ("home_only", "global_least_loaded")
SECTIONS = {
    "shared": {
        "80% of capacity": (Plan(rates=(("chat", 50.0),)), ("cloverway", *BASELINES)),
        "saturated, least outstanding": (Plan(rates=(("chat", 90.0),)), ("least_outstanding",)),
    },
    "peaks": {
        "Riviere 3:1": (PEAKS._replace(objective=(3.0, 1.0)), ("cloverway", *EVERYWHERE)),
        "Caroni 1:3": (PEAKS._replace(objective=(1.0, 3.0)), ("cloverway",)),
    },
    "overload": {
        "urgent alone": (Plan((4,), rates=CLASSES), ("cloverway",)),
        "1x": (Plan((4,), rates=(*CLASSES, ("chat", 14.0), ("dossier", 3.0))), ("cloverway",)),
        "2x": (
            Plan((4,), rates=(*CLASSES, ("chat", 24.0), ("dossier", 8.0))),
            ("cloverway", "least_outstanding"),
        ),
        "5x": (
            Plan((4,), rates=(*CLASSES, ("chat", 60.0), ("dossier", 24.0))),
            ("cloverway", "least_outstanding"),
        ),
    },
    "faults": {
        "region lost for 20 s": (
            FAULTY._replace(endpoints=(4, 4, 4), hosts=2, fault="loss"),
            ("cloverway", "least_outstanding"),
        ),
        "endpoint 10x slow for 30 s": (
            FAULTY._replace(fault="slow"),
            ("cloverway", "least_outstanding"),
        ),
        "endpoint flaps each 2 s": (
            FAULTY._replace(fault="flap"),
            ("cloverway", "least_outstanding"),
        ),
    },
}


def run_one(job):
    return measure(*job)


def show(section, seeds, pool):
    print(f"| {section} | policy | " + " | ".join(COLUMNS) + " |")
    print("| --- | --- |" + " ---: |" * len(COLUMNS))
    for name, (plan, policies) in SECTIONS[section].items():
        for policy in policies:
            figures = list(pool.map(run_one, [(plan, policy, seed) for seed in range(seeds)]))
            cells = [format_cell([figure[column] for figure in figures]) for column in COLUMNS]
            print(f"| {name} | {policy} | " + " | ".join(cells) + " |", flush=True)


def format_cell(values):
    if all(math.isinf(value) for value in values):
        return "-"
    return f"{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def time_refusals(count=4000, threads=8):
    """Time refusals of a real dispatcher whose slots and queue are full."""
    world = World(Plan((4,), 1), "cloverway", 0)
    world.report()
    world.summarise()
    world.clock.run(1.0)
    host = next(iter(world.hosts.values()))
    settings = make_settings(world.plan, "cloverway", host.name, host.region)
    dispatcher = Dispatcher.from_config(settings, ViewHolder(host.view), time.monotonic)
    dispatcher.start()

    def submit(number):
        begin = time.monotonic()
        call = world.make_call(0, "urgent", begin)
        request = call.request._replace(id=f"r{number}", deadline=begin + 0.4)
        verdict = dispatcher.submit(request)
        return not isinstance(verdict, Admitted), time.monotonic() - begin

    with ThreadPoolExecutor(threads) as pool:
        took = [seconds for refused, seconds in pool.map(submit, range(count)) if refused]
    dispatcher.stop()
    parts = ", ".join(
        f"p{part * 100:g} {quantile(took, part) * 1000:.2f} ms" for part in (0.5, 0.99)
    )
    print(f"refusals: {len(took)} of {count} from {threads} threads: {parts}")


COLUMNS = (
    "p50",
    "p99",
    "urgent p99",
    "hits",
    "batch in time",
    "away",
    "in time",
    "goodput",
    "attempts",
    "recover_s",
)


def main(arguments):
    seeds = 5
    with ProcessPoolExecutor(4) as pool:
        for section in arguments or [*SECTIONS, "refusals"]:
            if section == "refusals":
                time_refusals()
            else:
                show(section, seeds, pool)


if __name__ == "__main__":
    main(sys.argv[1:])
