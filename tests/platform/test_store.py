"""Tests of the client of the platform's store."""

from __future__ import annotations

import struct
from urllib.parse import parse_qs, urlsplit

import curio
import pytest

from cuminhill.errors import UnavailableError, UnknownOutcomeError
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


class FailingPages:
    """HTTP client of a topic of one record a page; each n-th request fails."""

    peer = "store"

    def __init__(self, n_pages, n_th):
        self.n_pages = n_pages
        self.n_th = n_th
        self.n_requests = 0

    async def request(self, method, path, value=None, **more):
        self.n_requests += 1
        if self.n_requests % self.n_th == 0:
            raise UnknownOutcomeError("time-out", step="http", peer=self.peer)
        query = parse_qs(urlsplit(path).query)
        number = int(query.get("after", ["-1"])[0]) + 1
        item = {"key": str(number), "offset": number, "value": "eA=="}
        more = number + 1 < self.n_pages
        return 200, {"end": 100 + self.n_requests, "items": [item], "more": more}


@pytest.mark.parametrize(("n_pages", "n_th"), [(10, 5), (10, 9), (40, 2)])
def test_pages_of_the_newest_records_are_not_all_read_again(n_pages, n_th):
    """Guards against a topic that is never read, since one page of many fails.

    After a failure, the next attempt read all pages from the first one on.
    """
    client = FailingPages(n_pages, n_th)
    topic = PlatformTopic("t", client, client)

    async def scenario():
        for _ in range(n_pages):
            try:
                return await topic.newest()
            except UnknownOutcomeError:
                continue
        return None

    end, records = curio.run(scenario)
    assert [record.key for record in records] == [str(n) for n in range(n_pages)]
    assert end == 101  # reading on from there finds all changes made meanwhile
    assert client.n_requests <= 2 * n_pages


class RefusingPages(FailingPages):
    """Refuses every page after the first one, once each, with a status."""

    def __init__(self, status):
        super().__init__(n_pages=3, n_th=1000)
        self.status = status
        self.refused = set()
        self.n_first = 0

    async def request(self, method, path, value=None, **more):
        """Serve or refuse one page."""
        after = parse_qs(urlsplit(path).query).get("after")
        self.n_first += after is None
        if after is not None and path not in self.refused:
            self.refused.add(path)
            return self.status, {}
        return await super().request(method, path, value, **more)


@pytest.mark.parametrize(("status", "n_first"), [(503, 1), (429, 1), (410, 3)])
def test_a_refused_page_is_read_again_from_the_first_one_on(status, n_first):
    """Guards against a topic that is never read, since its key has gone."""
    client = RefusingPages(status)
    topic = PlatformTopic("t", client, client)

    async def scenario():
        for _ in range(2):
            with pytest.raises(UnavailableError):
                await topic.newest()
        return await topic.newest()

    _, records = curio.run(scenario)
    assert [record.key for record in records] == ["0", "1", "2"]
    assert client.n_first == n_first
