from __future__ import annotations

import socket
from pathlib import Path

import pytest

from cloverway.daemon import Daemon
from cloverway.errors import ConfigurationError
from cloverway.tests.standins.processes import Ports, Process
from cloverway.tests.standins.topology import PEER_SECRET, HostAddresses, make_settings, to_toml

LISTENERS = ("callers", "admin", "peers")


@pytest.mark.parametrize("listener", LISTENERS)
def test_daemon_exits_if_an_address_is_in_use(tmp_path: Path, listener: str) -> None:
    """Another process, such as a predecessor that is still leaving, uses one of the addresses.

    The daemon can't start and must exit. If it stayed half started, a supervisor would treat it as
    running and would not restart it, and SIGTERM would have no effect.
    """
    ports = Ports()
    addresses = HostAddresses(*(f"127.0.0.1:{ports.take()}" for _ in range(3)), published_peers="")
    host, _, port = getattr(addresses, listener).rpartition(":")
    secret = tmp_path / "secret"
    secret.write_bytes(PEER_SECRET)
    platform = {"kind": "file", "directory": str(tmp_path)}
    settings = tmp_path / "settings.toml"
    settings.write_text(to_toml(make_settings("pl-a-host-1", addresses, platform, str(secret), {})))
    daemon = Process("daemon", "cloverway.daemon", ["--settings", str(settings)], tmp_path)
    try:
        with socket.create_server((host, int(port))):
            daemon.start()
            assert daemon.wait(20.0) == 1
        assert "cloverwayd: " in daemon.tail() and "in use" in daemon.tail()
        assert "Traceback" not in daemon.tail()
    finally:
        daemon.stop()
        ports.close()


def test_a_secret_that_is_too_short_or_too_long_is_refused(tmp_path: Path) -> None:
    """The settings name a wrong file, such as an empty or a large one.

    The daemon used any content that was long enough as the secret. Other hosts then rejected its
    messages, and no log line gave the reason.
    """
    addresses = HostAddresses("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", published_peers="")
    secret = tmp_path / "secret"
    platform = {"kind": "file", "directory": str(tmp_path)}
    settings = tmp_path / "settings.toml"
    settings.write_text(to_toml(make_settings("pl-a-host-1", addresses, platform, str(secret), {})))
    for size in (0, 31, 4097):
        secret.write_bytes(b"x" * size)
        with pytest.raises(ConfigurationError, match=r"security\.peer_secret_file: holds"):
            Daemon.from_config(settings)
