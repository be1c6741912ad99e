"""Stand-in for the platform's metadata store, a log with keyed topics.

It keeps what PROTOCOL.md says of the log: batches are appended all or nothing, each
append takes a fixed time, producers are deduplicated and fenced by epoch and sequence
number, reads wait for a record, and the newest record of each key stays.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from dataclasses import dataclass, field
from typing import Any

from .http import Request, Server

APPEND_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
MAX_ITEMS = 500
READ_ONLY = ("keyed.op", "keyed.servers")


@dataclass
class Topic:
    """Partition 0 of one keyed topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, list[tuple[int, Any]]]] = field(
        default_factory=dict
    )
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, contents: list[bytes]) -> dict[str, int]:
        """Append records and wake the readers."""
        offset = len(self.records)
        for content in contents:
            n_key = content[0]
            key, value = content[1 : 1 + n_key].decode(), content[1 + n_key :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


@dataclass
class Store:
    """The store; ``refusals`` counts appends that were refused, by reason."""

    topics: dict[str, Topic] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(self._handle)

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write one record as the operator or a worker."""
        self.topic(topic).add([bytes([len(key)]) + key.encode() + value])

    async def _handle(self, req: Request) -> tuple[int, Any] | None:
        name = req.query.get("topic", "")
        if req.path == "/-/log-append":
            return await self._append(name, req)
        if req.path == "/-/log-read":
            return await self._read(self.topic(name), req.query)
        if req.path == "/-/log-newest":
            return self._list_newest(self.topic(name), req.query.get("after", ""))
        return 404, {}

    async def _append(self, name: str, req: Request) -> tuple[int, Any]:
        if name in READ_ONLY:
            return 403, {}
        contents, pos = [], 0
        while pos < len(req.body):
            (length,) = struct.unpack_from(">I", req.body, pos)
            contents.append(req.body[pos + 4 : pos + 4 + length])
            pos += 4 + length
        if sum(map(len, contents)) > CALL_BYTES or any(
            len(content) > RECORD_BYTES for content in contents
        ):
            self.refusals["size"] = self.refusals.get("size", 0) + 1
            return 413, {"reason": "size"}
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in req.query and int(req.query["at"]) != len(topic.records):
                return 412, {"end": len(topic.records)}
            producer = req.query.get("producer")
            if producer is None:
                return 200, topic.add(contents)
            return self._append_once(topic, producer, req.query, contents)

    def _append_once(
        self, topic: Topic, producer: str, query: dict[str, str], contents: list[bytes]
    ) -> tuple[int, Any]:
        epoch, seq = int(query["epoch"]), int(query.get("seq", 0))
        seen_epoch, seen_seq, answers = topic.producers.get(producer, (-1, -1, []))
        if epoch < seen_epoch:
            return 409, {"reason": "fenced"}
        if epoch > seen_epoch:
            answers = []
        else:
            for old, answer in answers:
                if old == seq:
                    return 200, answer
            if seq != seen_seq + 1:
                return 409, {"reason": "seq", "expected": seen_seq + 1}
        answer = topic.add(contents)
        topic.producers[producer] = (epoch, seq, [*answers, (seq, answer)][-5:])
        return 200, answer

    async def _read(self, topic: Topic, query: dict[str, str]) -> tuple[int, Any]:
        offset, limit = int(query["from"]), int(query.get("max_kb", 1024)) * 1024
        give_up_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(topic.records) <= offset and time.monotonic() < give_up_at:
            changed = topic.changed
            try:
                async with asyncio.timeout(give_up_at - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        n_bytes = 0
        for content in topic.records[offset:]:
            n_bytes += 4 + len(content)
            if n_bytes > limit:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def _list_newest(self, topic: Topic, after: str) -> tuple[int, Any]:
        keys = sorted(key for key in topic.newest if key > after)
        items, n_bytes = [], 0
        for key in keys[:MAX_ITEMS]:
            offset, value = topic.newest[key]
            n_bytes += len(value)
            if items and n_bytes > 1 << 20:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return 200, {"items": items, "more": more, "end": len(topic.records)}
