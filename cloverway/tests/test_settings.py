from __future__ import annotations

from pathlib import Path

import pytest

from cloverway.config.settings import Settings
from cloverway.errors import ConfigurationError

EXAMPLE = Path(__file__).parents[2] / "examples" / "settings.toml"


def test_a_refusal_always_finds_a_thread(tmp_path):
    """Callers see an overloaded host answer at once, and not after its queue has moved.

    With as many requests admitted and queued as there are threads, the next one would wait in the
    listener, where admission can't see it.
    """
    text = EXAMPLE.read_text()
    assert "threads = 192" in text
    path = tmp_path / "settings.toml"
    path.write_text(text.replace("\nthreads = 192", "\nthreads = 128"))
    with pytest.raises(ConfigurationError, match=r"limits.threads: must be over .* 128"):
        Settings.from_toml(path)


def test_a_quarantine_of_every_request_is_refused(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(EXAMPLE.read_text().replace("\nends = 3", "\nends = 0"))
    with pytest.raises(ConfigurationError, match=r"quarantine.ends: 0 must be at least 1"):
        Settings.from_toml(path)
