"""The command that collects the log lines of one request from several hosts."""

from __future__ import annotations

import json

from typer.testing import CliRunner

from cloverway.__main__ import app
from cloverway.tests.test_fleet_units import SETTINGS

RUN = CliRunner()


def make_line(time, host, message, request_id="r1", **inputs):
    fields = {"time": time, "level": "INFO", "host": host, "message": message}
    return json.dumps(fields | {"request_id": request_id} | inputs) + "\n"


def test_lines_of_all_hosts_are_shown_in_order(tmp_path):
    first_log, second_log = tmp_path / "host-1.log", tmp_path / "host-2.log"
    first_log.write_text(
        make_line("10:00:00,100", "host-1", "sent", to="10.1.0.7:1", waited_s=0.0)
        + make_line("10:00:00,150", "host-1", "sent", "r2")
        + "not json r1\n"
        + make_line("10:00:01,000", "host-1", "attempt_failed", why="no room")
    )
    second_log.write_text(make_line("10:00:00,500", "host-2", "refused", status=503, ran="no"))
    result = RUN.invoke(app, ["trace", "r1", str(first_log), str(second_log)])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line.split()[2] for line in lines[1:]] == ["sent", "refused", "attempt_failed"]
    assert "why=no room" in lines[3]
    assert "r2" not in result.output


def test_all_attempts_of_a_request_are_found_by_their_digest(tmp_path):
    """A caller repeats one request, each time with another id.

    The log line of any failed attempt contains the digest that all of them share.
    """
    log = tmp_path / "a.log"
    log.write_text(
        make_line("10:00:00,100", "host-1", "attempt_failed", "r1", request_digest="00ab")
        + make_line("10:00:00,500", "host-1", "refused", "r2", request_digest="00ab")
        + make_line("10:00:00,600", "host-1", "refused", "r3", request_digest="00cd")
    )
    result = RUN.invoke(app, ["trace", "00ab", str(log)])
    lines = result.output.splitlines()
    assert [line.split()[3] for line in lines[1:]] == ["request_id=r1", "request_id=r2"]


def test_logs_are_read_from_standard_input_with_other_text_before_each_line():
    text = "  12.3 host-1 " + make_line("10:00:00,100", "host-1", "sent", left_s=4.9)
    result = RUN.invoke(app, ["trace", "r1", "--json"], input=text)
    assert json.loads(result.output)[0]["inputs"] == {"left_s": 4.9}


def test_a_request_without_log_lines_is_an_error(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(make_line("10:00:00,100", "host-1", "sent"))
    result = RUN.invoke(app, ["trace", "r9", str(log)])
    assert result.exit_code == 1
    assert "no line of the request 'r9'" in result.output


def test_an_unreadable_log_is_an_error(tmp_path):
    result = RUN.invoke(app, ["trace", "r1", str(tmp_path / "none.log")])
    assert result.exit_code == 1
    assert "can't be read" in result.output


def test_fleet_settings_are_checked(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    result = RUN.invoke(app, ["fleet-settings", str(path), "--json"])
    assert result.exit_code == 0
    assert json.loads(result.output)["listen"]["metrics_port"] == 9464
    path.write_text(SETTINGS.replace("10.0.0.1:2", "there"))
    result = RUN.invoke(app, ["fleet-settings", str(path)])
    assert result.exit_code == 1
    assert "listen.readiness" in result.output
