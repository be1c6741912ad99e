"""Tests of the client of the platform's store."""

from __future__ import annotations

import struct
from urllib.parse import parse_qs, urlsplit

import curio

from cuminhill.jobs.logreader import READ_TIMEOUT_S
from cuminhill.platform.store import PlatformTopic

SMALLEST_LINK_BPS = 10e6  # bits per second, of the smallest VMs of a known site


class RecordingClient:
    """HTTP client that records the requested paths and returns an empty page."""

    peer = "store"

    def __init__(self):
        self.paths = []

    async def request(self, method, path, value=None, **more):
        self.paths.append(path)
        return 200, struct.pack(">QQ", 0, 0)


def test_a_page_arrives_in_time_on_the_smallest_link():
    """Guards against pages that time out on every attempt.

    On a site with links of 10 Mbit/s, a VM that was 1 MB behind after a network failure
    never received a page within the timeout.
    """
    client = RecordingClient()
    topic = PlatformTopic("t", client, client)
    curio.run(topic.read, 0, 0.0, 0.6)
    query = parse_qs(urlsplit(client.paths[0]).query)
    page_bits = int(query["max_kb"][0]) * 1024 * 8
    assert page_bits / SMALLEST_LINK_BPS < READ_TIMEOUT_S / 2
