"""The client of the platform's store, against a fake of it."""

from __future__ import annotations

import pytest

from cloverway.errors import PlatformError
from cloverway.platform.store import PlatformStore
from cloverway.tests.fleet.deployment import run_scenario
from cloverway.tests.fleet.standins import Store


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
        assert (await client.watch(store.revision - 1, 1.0)).epoch == epoch

    run_scenario(scenario)


@pytest.mark.parametrize("stated", [b"", b"-1", b"1.5", b"new", b"9" * 30])
def test_a_malformed_epoch_is_an_error_of_the_store(stated):
    """As the epoch 0 it would make everything that the store says older than what is known."""

    async def scenario():
        _, client = await start_store(stated)
        with pytest.raises(PlatformError, match="epoch of the store is malformed"):
            await client.read_all()

    run_scenario(scenario)
