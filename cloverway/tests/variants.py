"""Create variants of a published deployment, by name or by seed.

    python -m cloverway.tests.variants SITE FOLDER NAME-OR-SEED...

Variants show whether decisions depend on the parameters of the known deployments. Each seed draws
other engines, loads, latencies and token gaps; a seed always gives the same deployment. Neither the
source file nor the created files belong into the repository.
"""

from __future__ import annotations

import shutil
import sys
import tomllib
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

Table = dict[str, Any]


class Variant(NamedTuple):
    """Factors by which the parameters of the deployment are multiplied."""

    prefill: float = 1.0
    """Prefill speed of an engine, in tokens a second."""
    step: float = 1.0
    """Duration of a decode step of an engine."""
    kv_memory: float = 1.0
    """Size of an engine's KV cache, in tokens."""
    load: float = 1.0
    """Request rate."""
    token_gap: float = 1.0
    """Objective for the longest inter-token gap."""
    latency: float = 1.0
    """Network latency between regions."""
    private_prompt: float = 1.0
    """Prompt tokens that no other request shares."""
    service_work: float = 1.0
    """Service time of a request to a plain service."""


NAMED_VARIANTS = {
    "load-070": Variant(load=0.7),
    "load-100": Variant(),
    "load-130": Variant(load=1.3),
    "load-160": Variant(load=1.6),
    "load-200": Variant(load=2.0),
    "slow-engines": Variant(prefill=0.66, step=1.5, kv_memory=0.6, token_gap=0.75, latency=1.5),
    "plain-bottleneck": Variant(service_work=2.5),
    "large-prompts": Variant(private_prompt=1.8, load=0.9),
    "long-trips": Variant(latency=2.5, load=1.2),
}
"""Named variants: a series of loads, and one variant for each possible bottleneck."""


def draw_variant(seed: int) -> Variant:
    """Draw a variant; most overload their engines at the peaks."""
    random = Random(seed)
    return Variant(
        prefill=random.choice([0.5, 0.66, 0.8, 1.0, 1.25]),
        step=random.choice([0.7, 1.0, 1.5, 2.0]),
        kv_memory=random.choice([0.4, 0.6, 1.0, 1.5]),
        load=random.choice([0.8, 1.0, 1.2, 1.5]),
        token_gap=random.choice([0.6, 0.75, 1.0, 1.5]),
        latency=random.choice([0.4, 1.0, 1.5, 2.5]),
        private_prompt=random.choice([0.7, 1.0, 1.5]),
        service_work=random.choice([0.7, 1.0, 1.5]),
    )


def change_site(site: Table, name: str, variant: Variant) -> Table:
    """Apply the factors of a variant to a deployment and return it."""
    site["name"] = name
    for service in site["services"]:
        if "llm" in service:
            engine = service["llm"]
            engine["prefill_tokens_per_ms"] *= variant.prefill
            engine["step_ms"] *= variant.step
            engine["kv_tokens"] = int(engine["kv_tokens"] * variant.kv_memory)
    for request_class in site["classes"]:
        if "stream" in request_class:
            request_class["stream"]["gap_aim_ms"] = round(
                request_class["stream"]["gap_aim_ms"] * variant.token_gap
            )
            prompt = request_class["stream"]["prompt_tokens"]
            prompt["mean"] *= variant.private_prompt
        elif "work_ms" in request_class:
            request_class["work_ms"]["mean"] *= variant.service_work
    for traffic in (site["traffic"], *(day["traffic"] for day in site["day"] if "traffic" in day)):
        for zone in traffic:
            zone["per_s"] *= variant.load
    site["net"]["cross_region_ms"] *= variant.latency
    return site


def format_value(value: Any) -> str:
    """Format a value as TOML, with inline tables."""
    if isinstance(value, dict):
        return (
            "{ " + ", ".join(f"{key} = {format_value(item)}" for key, item in value.items()) + " }"
        )
    if isinstance(value, list):
        return "[" + ", ".join(map(format_value, value)) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"{escaped}"'
    return repr(value)


def format_site(site: Table) -> str:
    """Format a deployment as TOML."""
    service_work = {key: value for key, value in site.items() if not isinstance(value, dict)}
    tables = {key: value for key, value in site.items() if isinstance(value, dict)}
    days = service_work.pop("day", [])
    lines = [f"{key} = {format_value(value)}" for key, value in service_work.items()]
    for key, table in (*tables.items(), *(("[day]", day) for day in days)):
        lines += ["", f"[{key}]", *(f"{k} = {format_value(v)}" for k, v in table.items())]
    return "\n".join(lines) + "\n"


def make_variants(source: Path, folder: Path, names: list[str]) -> list[Path]:
    """Write a deployment for each name or seed, and return the paths of the files."""
    folder.mkdir(parents=True, exist_ok=True)
    made = []
    for name in names:
        variant = NAMED_VARIANTS[name] if name in NAMED_VARIANTS else draw_variant(int(name))
        path = folder / f"{source.stem}-{name}.toml"
        site = tomllib.loads(source.read_text(encoding="utf-8"))
        path.write_text(format_site(change_site(site, path.stem, variant)), encoding="utf-8")
        for companion in ("wire.json", "CUT"):
            if (source.parent / companion).exists():
                shutil.copy(source.parent / companion, folder / companion)
        made.append(path)
    return made


if __name__ == "__main__":
    for written in make_variants(Path(sys.argv[1]), Path(sys.argv[2]), sys.argv[3:]):
        print(written)
