from __future__ import annotations

from pathlib import Path

import pytest

from cloverway.config.settings import Settings
from cloverway.errors import ConfigurationError

EXAMPLE = Path(__file__).parents[2] / "examples" / "settings.toml"


def test_a_thread_is_always_free_to_refuse_a_request(tmp_path):
    """An overloaded host must refuse requests at once.

    If admitted and queued requests could use all threads, the next request would wait in the
    listener, which admission control can't see.
    """
    text = EXAMPLE.read_text()
    assert "threads = 192" in text
    path = tmp_path / "settings.toml"
    path.write_text(text.replace("\nthreads = 192", "\nthreads = 128"))
    with pytest.raises(ConfigurationError, match=r"limits.threads: must be over .* 128"):
        Settings.from_toml(path)


def test_a_crash_threshold_of_zero_is_rejected(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(EXAMPLE.read_text().replace("\nends = 3", "\nends = 0"))
    with pytest.raises(ConfigurationError, match=r"quarantine.ends: 0 must be at least 1"):
        Settings.from_toml(path)
