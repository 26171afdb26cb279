"""Measure dispatch policies: the real core in virtual time, with simulated engines.

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
from cloverway.tests.bench_model import Scenario, Simulation, make_settings


def compute_quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("inf")


def measure(scenario, policy, seed):
    """Run a scenario once and return the metrics of the calls that arrived after the warm-up."""
    all_calls = Simulation(scenario, policy, seed).run()
    calls = [call for call in all_calls if scenario.warm_up_s <= call.request.arrived_at]
    done = [call for call in calls if call.done_at and call.done_at <= call.request.deadline]
    urgent = [call for call in done if call.request.profile == "urgent"]
    duration_s = scenario.seconds - 15 - scenario.warm_up_s
    slots = scenario.slots * sum(scenario.endpoints)
    return {
        "p50": compute_quantile([compute_first_token_time(call) for call in done], 0.5),
        "p99": compute_quantile([compute_first_token_time(call) for call in done], 0.99),
        "whole p99": compute_quantile(
            [call.done_at - call.request.arrived_at for call in done], 0.99
        ),
        "urgent p99": compute_quantile(
            [call.done_at - call.request.arrived_at for call in urgent], 0.99
        ),
        "hits": sum(call.hit for call in done) / max(1, len(done)),
        "away": sum(call.away for call in done) / max(1, len(done)),
        "in time": len(done) / len(calls),
        "goodput": sum(compute_slot_time(scenario, call) for call in all_calls)
        / (duration_s * slots),
        "late": sum(call.done_at is not None for call in calls) - len(done),
        "batch in time": compute_completed_fraction(calls, "dossier"),
        "attempts": mean(call.attempts for call in calls if call.attempts or call.refused is None),
        "recover_s": find_recovery(calls),
    }


def compute_slot_time(scenario, call):
    """Return the slot time of an answer within its deadline, while requests still arrived."""
    if not call.done_at or call.done_at > call.request.deadline:
        return 0.0
    end = min(call.done_at, scenario.seconds - 15)
    return max(0.0, end - max(call.started_at, scenario.warm_up_s))


def compute_first_token_time(call):
    return call.first_at - call.request.arrived_at


def compute_completed_fraction(calls, profile):
    selected = [call for call in calls if call.request.profile == profile]
    return sum(call.done_at is not None for call in selected) / max(1, len(selected))


def find_recovery(calls, fault_at=30.0, fraction=0.99):
    """Return the seconds after a fault until the calls of each second are served again."""
    served, all_calls = Counter(), Counter()
    for call in calls:
        second = int(call.request.arrived_at - fault_at)
        all_calls[second] += 1
        served[second] += call.done_at is not None and call.done_at <= call.request.deadline
    bad_seconds = [s for s, count in all_calls.items() if s >= 0 and served[s] < fraction * count]
    return float(max(bad_seconds) + 1) if bad_seconds else 0.0


URGENT_RATES = (("urgent", 8.0),)
PEAK_SCENARIO = Scenario(
    (4, 3, 3),
    2,
    rates=(("chat", 20.0),),
    rate_amplitude=0.8,
    period_s=60,
    seconds=95,
    prefix_count=48,
)
FAULT_SCENARIO = Scenario((4,), rates=(("chat", 16.0),), seconds=90, prefix_count=48)
BASELINES = ("random", "round_robin", "least_outstanding")
REGION_BASELINES = ("home_only", "global_least_loaded")
SECTIONS = {
    "shared": {
        "80% of capacity": (Scenario(rates=(("chat", 50.0),)), ("cloverway", *BASELINES)),
        "saturated, least outstanding": (Scenario(rates=(("chat", 90.0),)), ("least_outstanding",)),
    },
    "peaks": {
        "Riviere 3:1": (
            PEAK_SCENARIO._replace(objective=(3.0, 1.0)),
            ("cloverway", *REGION_BASELINES),
        ),
        "Caroni 1:3": (PEAK_SCENARIO._replace(objective=(1.0, 3.0)), ("cloverway",)),
    },
    "overload": {
        "urgent alone": (Scenario((4,), rates=URGENT_RATES), ("cloverway",)),
        "1x": (
            Scenario((4,), rates=(*URGENT_RATES, ("chat", 14.0), ("dossier", 3.0))),
            ("cloverway",),
        ),
        "2x": (
            Scenario((4,), rates=(*URGENT_RATES, ("chat", 24.0), ("dossier", 8.0))),
            ("cloverway", "least_outstanding"),
        ),
        "5x": (
            Scenario((4,), rates=(*URGENT_RATES, ("chat", 60.0), ("dossier", 24.0))),
            ("cloverway", "least_outstanding"),
        ),
    },
    "faults": {
        "region lost for 20 s": (
            FAULT_SCENARIO._replace(endpoints=(4, 4, 4), hosts=2, fault="loss"),
            ("cloverway", "least_outstanding"),
        ),
        "endpoint 10x slow for 30 s": (
            FAULT_SCENARIO._replace(fault="slow"),
            ("cloverway", "least_outstanding"),
        ),
        "endpoint flaps each 2 s": (
            FAULT_SCENARIO._replace(fault="flap"),
            ("cloverway", "least_outstanding"),
        ),
    },
}


def run_one(job):
    return measure(*job)


def show(section, seeds, pool):
    print(f"| {section} | policy | " + " | ".join(COLUMNS) + " |")
    print("| --- | --- |" + " ---: |" * len(COLUMNS))
    for name, (scenario, policies) in SECTIONS[section].items():
        for policy in policies:
            results = list(pool.map(run_one, [(scenario, policy, seed) for seed in range(seeds)]))
            cells = [format_cell([result[column] for result in results]) for column in COLUMNS]
            print(f"| {name} | {policy} | " + " | ".join(cells) + " |", flush=True)


def format_cell(values):
    if all(math.isinf(value) for value in values):
        return "-"
    return f"{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def time_refusals(count=4000, threads=8):
    """Measure how long a real dispatcher with full slots and queue takes to refuse a request."""
    simulation = Simulation(Scenario((4,), 1), "cloverway", 0)
    simulation.collect_reports()
    simulation.summarize_regions()
    simulation.clock.run(1.0)
    host = next(iter(simulation.hosts.values()))
    settings = make_settings(simulation.scenario, "cloverway", host.name, host.region)
    dispatcher = Dispatcher.from_config(settings, ViewHolder(host.view), time.monotonic)
    dispatcher.start()

    def submit(number):
        begin = time.monotonic()
        call = simulation.make_call(0, "urgent", begin)
        request = call.request._replace(id=f"r{number}", deadline=begin + 0.4)
        verdict = dispatcher.submit(request)
        return not isinstance(verdict, Admitted), time.monotonic() - begin

    with ThreadPoolExecutor(threads) as pool:
        durations = [seconds for refused, seconds in pool.map(submit, range(count)) if refused]
    dispatcher.stop()
    parts = ", ".join(
        f"p{fraction * 100:g} {compute_quantile(durations, fraction) * 1000:.2f} ms"
        for fraction in (0.5, 0.99)
    )
    print(f"refusals: {len(durations)} of {count} from {threads} threads: {parts}")


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
