"""The client of the platform's store, against a fake of it."""

from __future__ import annotations

import asyncio
import json

import pytest

from cloverway.core.deployment import StorePosition
from cloverway.errors import PlatformError
from cloverway.platform.store import PlatformStore
from cloverway.serving.ports import HistoryGoneError
from cloverway.tests.fleet.deployment import run_scenario
from cloverway.tests.fleet.standins import Store, make_server, take_ports


async def start_store(epoch):
    store = Store()
    store.epoch = epoch
    store.put("op/evacuate/d1", {})
    await store.start()
    return store, PlatformStore(store.address)


@pytest.mark.parametrize(("stated", "epoch"), [(None, 0), (b"0", 0), (b"7", 7)])
def test_documents_have_the_epoch_that_the_store_states(stated, epoch):
    async def scenario():
        store, client = await start_store(stated)
        assert (await client.read_all()).epoch == epoch
        assert (await client.watch(StorePosition(epoch, store.revision - 1), 1.0)).epoch == epoch

    run_scenario(scenario)


@pytest.mark.parametrize("stated", [b"", b"-1", b"1.5", b"new", b"9" * 30])
def test_a_malformed_epoch_is_an_error_of_the_store(stated):
    """As the epoch 0 it would make everything that the store says older than what is known."""

    async def scenario():
        _, client = await start_store(stated)
        with pytest.raises(PlatformError, match="epoch of the store is malformed"):
            await client.read_all()

    run_scenario(scenario)


def test_a_read_that_spans_the_loss_of_writes_is_an_error():
    """Guards against documents of two epochs that are taken for one state of the store."""

    async def scenario():
        store, client = await start_store(b"1")
        copy = store.copy()
        for number in range(2 * store.page_size):
            store.put(f"servers/e{number}", {})

        async def call(path, query, wait_s):
            response = await PlatformStore._call(client, path, query, wait_s)
            if query.get("after"):
                return response
            store.restore(copy)
            store.put("servers/f", {})
            return response

        client._call = call
        with pytest.raises(PlatformError, match="lost writes while it was read"):
            await client.read_all()
        client._call = PlatformStore._call.__get__(client)
        snapshot = await client.read_all()
        assert {document.key for document in snapshot.documents} == {"op/evacuate/d1", "servers/f"}

    run_scenario(scenario)


@pytest.mark.parametrize("reused", [0, 9])
def test_a_watch_that_waits_while_writes_are_lost_gives_no_changes(reused):
    """Guards against changes that are missing between the known position and the answer."""

    async def scenario():
        store, client = await start_store(b"1")
        copy = store.copy()
        store.put("op/evacuate/d2", {})
        position = (await client.read_all()).position
        watch = asyncio.create_task(client.watch(position, 1.0))
        await asyncio.sleep(0.1)
        for number in range(reused):
            copy.items[f"op/evacuate/u{number}"] = (copy.revision + number, b"")
        store.restore(copy._replace(revision=copy.revision + reused))
        with pytest.raises(HistoryGoneError):
            await watch

    run_scenario(scenario)


def test_an_unframed_answer_that_ends_early_is_an_error_of_the_store():
    """Guards against documents or changes that are missing as the connection of an answer ended.

    The end of the connection is the only end of such an answer; it is cut after each of its bytes.
    """
    item = {"key": "op/evacuate/d1", "value": "e30=", "revision": 3, "createdAt": 1, "lease": 0}
    answer = json.dumps({"items": [item], "events": [item], "hasMore": False, "at": 3}).encode()
    lengths = iter(range(len(answer)))

    async def answer_early(exchange):
        exchange.connection.write(b"HTTP/1.1 200 OK\r\n\r\n" + answer[: next(lengths)])

    async def scenario():
        server, port = make_server(answer_early), take_ports(1)[0]
        await server.start(f"127.0.0.1:{port}")
        client = PlatformStore(f"127.0.0.1:{port}")
        for _ in range(len(answer) // 2):
            with pytest.raises(PlatformError):
                await client.watch(StorePosition(0, 1), 0.1)
            with pytest.raises(PlatformError):
                await client._call("/kv-range", {"prefix": ""}, 0.0)

    run_scenario(scenario)
