"""Variants of a published deployment: each factor is applied to its parameter, seeds repeat."""

from __future__ import annotations

import copy
import tomllib
from pathlib import Path

import pytest

from cloverway.tests.variants import (
    NAMED_VARIANTS,
    Table,
    Variant,
    change_site,
    draw_variant,
    format_site,
    make_variants,
)

SITE: Table = {
    "name": "here",
    "hosts": 3,
    "roomy": True,
    "services": [
        {"name": "chat", "llm": {"prefill_tokens_per_ms": 8.0, "step_ms": 20.0, "kv_tokens": 1000}},
        {"name": "plain"},
    ],
    "classes": [
        {"name": 'a "b" \\ c', "stream": {"gap_aim_ms": 400, "prompt_tokens": {"mean": 100.0}}},
        {"name": "paid", "work_ms": {"mean": 10.0}},
    ],
    "traffic": [{"zone": "north", "per_s": 4.0}],
    "net": {"cross_region_ms": 30.0},
    "day": [{"name": "quiet"}, {"name": "busy", "traffic": [{"zone": "south", "per_s": 6.0}]}],
}


def test_a_formatted_deployment_parses_to_the_same_value() -> None:
    """This includes names with quotes and backslashes."""
    assert tomllib.loads(format_site(SITE)) == SITE


def test_each_factor_is_applied_to_its_parameter() -> None:
    """Only these parameters change, in the deployment and in its days."""
    variant = Variant(
        prefill=0.5,
        step=2.0,
        kv_memory=0.4,
        load=1.5,
        token_gap=0.75,
        latency=3.0,
        private_prompt=2.0,
        service_work=5.0,
    )
    site = change_site(copy.deepcopy(SITE), "there", variant)
    assert site["name"] == "there"
    assert site["services"] == [
        {"name": "chat", "llm": {"prefill_tokens_per_ms": 4.0, "step_ms": 40.0, "kv_tokens": 400}},
        {"name": "plain"},
    ]
    stream, paid = site["classes"]
    assert stream["stream"] == {"gap_aim_ms": 300, "prompt_tokens": {"mean": 200.0}}
    assert paid["work_ms"] == {"mean": 50.0}
    assert site["traffic"] == [{"zone": "north", "per_s": 6.0}]
    assert site["day"][1]["traffic"] == [{"zone": "south", "per_s": 9.0}]
    assert site["net"] == {"cross_region_ms": 90.0}


def test_a_seed_always_gives_the_same_variant_and_seeds_differ() -> None:
    """A result that was seen with a seed can be reproduced."""
    drawn = [draw_variant(seed) for seed in range(40)]
    assert drawn == [draw_variant(seed) for seed in range(40)]
    assert len(set(drawn)) > 35


@pytest.mark.parametrize("name", [*NAMED_VARIANTS, "7"])
def test_a_deployment_is_written_with_the_files_that_it_needs(name: str, tmp_path: Path) -> None:
    """The files beside the published deployment are copied, for names and for seeds."""
    source = tmp_path / "from" / "site.toml"
    source.parent.mkdir()
    source.write_text(format_site(SITE), encoding="utf-8")
    (source.parent / "wire.json").write_text("{}", encoding="utf-8")
    (made,) = make_variants(source, tmp_path / "to", [name])
    assert tomllib.loads(made.read_text(encoding="utf-8"))["name"] == f"site-{name}"
    assert (made.parent / "wire.json").exists()
