from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.addresses import format_address, split_address, split_url

IPS = st.ip_addresses().map(str)
PORTS = st.integers(1, 65_535)


@given(ip=IPS, port=PORTS)
def test_an_address_survives_formatting_and_splitting(ip: str, port: int) -> None:
    assert split_address(format_address((ip, port))) == (ip, port)


@given(ip=IPS, port=PORTS)
def test_a_url_names_the_same_address(ip: str, port: int) -> None:
    assert split_url(f"http://{format_address((ip, port))}") == (ip, port)


def test_a_url_without_a_port_means_port_80() -> None:
    assert split_url("http://10.0.0.5") == ("10.0.0.5", 80)


@pytest.mark.parametrize("family", [socket.AF_INET, socket.AF_INET6])
def test_a_bound_socket_address_has_the_form_of_settings(family: int) -> None:
    ip = "127.0.0.1" if family == socket.AF_INET else "::1"
    with socket.socket(family, socket.SOCK_DGRAM) as bound:
        try:
            bound.bind((ip, 0))
        except OSError:
            pytest.skip("this machine has no address of the family")
        text = format_address(bound.getsockname())
        assert text.startswith("127.0.0.1:" if family == socket.AF_INET else "[::1]:")
        assert split_address(text)[1] == bound.getsockname()[1]
