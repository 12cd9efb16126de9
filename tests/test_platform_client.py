"""The client of the configuration service survives documents of any form."""

import asyncio
import zlib

import pytest

from heatheryoke.daemons import platform_client
from heatheryoke.daemons.platform_client import PlatformClient
from heatheryoke.inventory.document import encode_document
from heatheryoke.inventory.model import Address, Document, Host, Role
from heatheryoke.standins.platform import Platform
from heatheryoke.standins.site import free_address

# `inet_pton` raises ValueError for an address with a zero character.
WITH_ZERO = Document(2, hosts=(Host("a", Role.AGENT, "north", Address("10.0.0.1\0", 1)),))
DOCUMENTS = {
    "not compressed": b"{}",
    "another type": zlib.compress(b"[1]"),
    "nested": zlib.compress(b"[" * 100_000),
    "address with a zero": encode_document(WITH_ZERO),
    "an older version": encode_document(Document(0)),
}


class TestWatch:
    """A document that raised ended the watch; one that was refused was read without a pause."""

    @pytest.mark.parametrize("name", sorted(DOCUMENTS))
    def test_a_malformed_document_costs_itself_alone(self, name, monkeypatch):
        monkeypatch.setattr(platform_client, "RETRY_S", 0.2)

        async def run():
            platform, taken, address = Platform(), [Document(1)], free_address()
            await platform.start(address)
            platform.versions[2] = DOCUMENTS[name]
            platform.serve(2)
            client = PlatformClient(
                f"http://{address}",
                taken.append,
                lambda: None,
                lambda: taken[-1].version,
                lambda: True,
            )
            client.start()
            await asyncio.sleep(0.7)
            calls = platform.calls
            platform.publish(Document(3))
            await asyncio.sleep(0.5)
            await client.close()
            await platform.close()
            return calls, taken[-1].version

        calls, version = asyncio.run(run())
        assert calls <= 5 and version == 3
