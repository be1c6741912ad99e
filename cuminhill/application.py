"""The daemon: connects the parts without I/O to sockets, clocks and the platform."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING, Any

import curio
import orjson
import structlog

from .clock import SystemClock
from .configuration import STREAM as CONFIG_STREAM
from .configuration import Configuration
from .coordination.claims import (
    LeaderRecord,
    RequestIndex,
    has_known_type,
    record_from_dict,
)
from .coordination.entries import MIN_ENTRY_BYTES
from .coordination.membership import Member, make_membership
from .coordination.ownership import leader_of, shard_names, shard_of
from .coordination.recovery import from_snapshot, to_snapshot
from .dumps import dump_state
from .errors import CuminhillError
from .follower import Follower
from .httpapi import HttpApi
from .logretention import LogRetention
from .model import Answer
from .peers import Peers
from .platform.log import make_log
from .platform.vmlist import ENTRY, WORKER, make_vm_listing
from .platform.worker import make_worker
from .routing import make_router
from .rpc import RpcServer, idl
from .shard import ShardDriver
from .util.http import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from .platform.vmlist import VmEntry
    from .settings import Settings
    from .siteconfig import SiteConfig

logger = structlog.get_logger(__name__)

REQUESTS_STREAM = "requests"
CONFIG_INTERVAL_S = 0.5
START_RETRY_S = 0.2
SNAPSHOT_TIMEOUT_S = 1.0  # until the snapshot begins to arrive
# The transfer itself may take seconds on a slow link, and the next peer would have to
# send all of it again.
SNAPSHOT_STALL_S = 1.0
MAX_SNAPSHOT_BYTES = 3 << 20  # below the size limit of a frame
VM_LIST_INTERVAL_S = 1.0
LEADERSHIP_INTERVAL_S = 0.1
LOOKUP_POLL_S = 0.25
JOIN_WAIT_S = 0.6  # time to discover the other members before leading a shard
DRAIN_GRACE_S = 30.0


class Application:
    """One daemon.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = SystemClock(settings.wall_clock_offset_s)
        self.incarnation = int(self.clock.wall() * 1e9)
        self.holder = f"{settings.vm}@{self.incarnation}"
        self.started_at = time.monotonic()
        self.draining = False
        self.stopped = curio.Event()
        self.n_bad_records = 0
        self.vm_list: list[VmEntry] = []
        self.index = RequestIndex(settings.dedupe_window_s)
        log = make_log(settings.log_address, settings.source_host)
        self.config = Configuration(log, self.clock, self._on_config)
        self.follower = Follower(
            log,
            REQUESTS_STREAM,
            self._on_record,
            self._on_gap,
            self._on_caught_up,
        )
        self.log_retention = LogRetention(
            self.follower,
            self.index,
            self.clock,
            settings.log_retention_s,
            self._led_shards,
            self._maintains_streams,
        )
        self.membership = make_membership(
            Member(
                settings.vm,
                self.incarnation,
                0,
                settings.rpc_advertise or settings.rpc_address,
                settings.failure_domain,
            )
        )
        self.peers = Peers(
            self.membership,
            self._describe,
            list(settings.peers),
            random.Random(self.incarnation),
            settings.source_host,
        )
        self.drivers = {
            shard: ShardDriver(
                shard,
                self.holder,
                settings,
                self.follower,
                self.index,
                partial(make_worker, source_host=settings.source_host),
            )
            for shard in shard_names(settings.failure_domain, settings.n_shards)
        }
        self.router = make_router(
            self.drivers,
            self.membership,
            self.peers,
            self.index,
            clock=self.clock,
        )
        self.http_api = HttpApi(self)
        self.http = HttpServer(self.http_api.handle, settings.http_limits())
        self.rpc = RpcServer(
            {
                "heartbeat": self._on_heartbeat,
                "submit": self.router.submit_here,
                "lookup": self._on_lookup,
                "cancel": self._on_cancel,
                "explain": self._on_explain,
                "snapshot": self._on_snapshot,
            }
        )
        self._tasks: list[Any] = []

    # Lifecycle

    async def start(self) -> None:
        """Listen and start the background tasks."""
        rpc_host, _, rpc_port = self.settings.rpc_address.rpartition(":")
        http_host, _, http_port = self.settings.http_address.rpartition(":")
        await self.rpc.start(rpc_host, int(rpc_port))
        await self.http.start(http_host, int(http_port))
        for run in (
            self.follower.run_appends,
            self._run_reads,
            self.config.follower.run_appends,
            self.config.follower.run_reads,
            self._run_config_retention,
            self.log_retention.run,
            self.peers.run,
            self._run_vm_list,
            self._run_leadership,
        ):
            self._tasks.append(await curio.spawn(run, daemon=True))
        logger.info("started", vm=self.settings.vm, http=self.settings.http_address)

    async def drain(self) -> None:
        """Begin a graceful stop in the background."""
        if self.draining:
            return
        self.draining = True
        logger.info("draining", vm=self.settings.vm)
        await curio.spawn(self._drain, daemon=True)

    async def close(self) -> None:
        """Stop listening and cancel the background tasks."""
        await self.http.close(DRAIN_GRACE_S)
        for task in self._tasks:
            await task.cancel()
        await self.rpc.close()
        logger.info("stopped", vm=self.settings.vm)

    async def _drain(self) -> None:
        await self.peers.announce()
        for driver in self.drivers.values():
            await driver.step_down()
        await self.peers.announce()
        give_up_at = time.monotonic() + DRAIN_GRACE_S
        while self._n_in_progress() and time.monotonic() < give_up_at:
            await curio.sleep(0.02)
        await self.stopped.set()

    def _n_in_progress(self) -> int:
        waiting = sum(
            len(driver.submissions.waiters) for driver in self.drivers.values()
        )
        return waiting + self.http.n_busy + self.follower.n_pending

    def not_ready_reason(self) -> str:
        """Return why the load balancer has to send nothing; empty when ready."""
        if self.draining:
            return "draining"
        if self.config.site is None:
            return "no configuration yet"
        if not self.router.leaders():
            return "no leader is known"
        return ""

    # Requests

    async def lookup(self, request_id: str, wait_s: float) -> Answer | None:
        """Return the answer to a request, waiting for the final one."""
        give_up_at = time.monotonic() + wait_s
        while True:
            answer = await self._lookup_once(request_id)
            left_s = give_up_at - time.monotonic()
            if (answer is not None and answer.final) or left_s <= 0:
                return answer
            await curio.sleep(min(left_s, LOOKUP_POLL_S))

    async def _lookup_once(self, request_id: str) -> Answer | None:
        for driver in self.drivers.values():
            answer = driver.submissions.known_answer(request_id)
            if answer is not None:
                return answer
        for member in self.router.leaders().values():
            if member is self.membership.me:
                continue
            try:
                reply = await self.peers.client(member.address).call(
                    "lookup", idl.LookupCall(request_id, 0.0), timeout_s=0.5
                )
            except CuminhillError:
                continue
            if reply.status == "answer":
                return Answer.from_dict(orjson.loads(reply.value))
        return None

    async def cancel(self, request_id: str) -> None:
        """Pass a cancellation to whichever shard has the request."""
        entry = self.index.get(request_id)
        if entry is not None:
            await next(iter(self.drivers.values())).submissions.cancel(request_id)
            return
        for driver in self.drivers.values():
            await driver.submissions.cancel(request_id)
        for member in self.router.leaders().values():
            if member is not self.membership.me:
                await self.peers.client(member.address).call(
                    "cancel", idl.CancelCall(request_id), timeout_s=1.0
                )

    async def explain(self, request_id: str) -> dict[str, Any] | None:
        """Return why a request waits or where it runs."""
        for driver in self.drivers.values():
            found = driver.placer.explain(request_id)
            if found is not None:
                return found
        for member in self.router.leaders().values():
            if member is self.membership.me:
                continue
            reply = await self.peers.client(member.address).call(
                "explain", idl.ExplainCall(request_id), timeout_s=1.0
            )
            if reply.status == "answer":
                found = orjson.loads(reply.value)
                return dict(found)
        return None

    # Views for operators

    def log_age(self) -> dict[str, float]:
        """Return how old the view of the log may be, in seconds."""
        if self.follower.reachable:
            return {"age_s": 0.0}
        return {"age_s": round(time.monotonic() - self.follower.read_ok_at, 3)}

    def list_requests(self) -> list[dict[str, Any]]:
        """Return one row per logged request."""
        return [
            {
                "request_id": entry.request_id,
                "shard": entry.shard,
                "kind": (entry.request or {}).get("kind"),
                "state": (entry.answer or {"state": "accepted"})["state"],
            }
            for entry in self.index.entries.values()
        ]

    def list_workers(self) -> list[dict[str, Any]]:
        """Return one row per worker of the shards that this VM leads."""
        return [
            {"worker": vm, "shard": shard, **row}
            for shard, driver in self.drivers.items()
            if driver.leading
            for vm, row in driver.placer.dump()["workers"].items()
        ]

    def dump(self) -> dict[str, Any]:
        """Return the whole state of the process in JSON-ready form."""
        return dump_state(self)

    def _describe(self) -> dict[str, Any]:
        leading = [name for name, item in self.drivers.items() if item.serving]
        free = sum(self.drivers[name].placer.free().cores for name in leading)
        return {
            "leaving": self.draining,
            "shards": tuple(leading),
            "free_cores": free,
            "config_revision": self.config.revision,
            "log_offset": self.follower.next_offset,
        }

    # Calls of other entry VMs

    async def _on_heartbeat(self, message: Any) -> Any:
        now = time.monotonic()
        self.peers.receive(message, now)
        return self.peers.heartbeat(now, message.sender.vm)

    async def _on_lookup(self, call: Any) -> Any:
        for driver in self.drivers.values():
            answer = driver.submissions.known_answer(call.request_id)
            if answer is not None:
                return idl.Reply("answer", orjson.dumps(answer.to_dict()))
        return idl.Reply("unknown", b"")

    async def _on_cancel(self, call: Any) -> Any:
        for driver in self.drivers.values():
            await driver.submissions.cancel(call.request_id)
        return idl.Reply("ok", b"")

    async def _on_explain(self, call: Any) -> Any:
        for driver in self.drivers.values():
            found = driver.placer.explain(call.request_id)
            if found is not None:
                return idl.Reply("answer", orjson.dumps(found))
        return idl.Reply("unknown", b"")

    async def _on_snapshot(self, call: Any) -> Any:
        if call.stream == CONFIG_STREAM:
            value = self.config.snapshot()
        elif call.stream == REQUESTS_STREAM and self._may_send_index():
            value = to_snapshot(self.index)
        else:
            value = None
        data = b"" if value is None else orjson.dumps(value)
        if not data or len(data) > MAX_SNAPSHOT_BYTES:
            return idl.Reply("none", b"")
        return idl.Reply("snapshot", data)

    def _may_send_index(self) -> bool:
        """Return whether the index is complete and not certainly too large to send.

        Starting VMs ask again and again while the log is unreachable, and the snapshot
        of a large index holds up the process.
        """
        n_bytes = len(self.index.entries) * MIN_ENTRY_BYTES
        return self.follower.caught_up and n_bytes <= MAX_SNAPSHOT_BYTES

    # Background tasks

    async def _run_reads(self) -> None:
        """Find where the replay starts, in the log or at a peer, and read on."""
        while not self.follower.caught_up and not self.follower.next_offset:
            try:
                await self.log_retention.find_replay_start()
                break
            except CuminhillError:
                if await self._adopt_index():
                    break
                await curio.sleep(START_RETRY_S)
        await self.follower.run_reads()

    async def _adopt_index(self) -> bool:
        """Load the index of requests from a peer while the log is unreachable."""
        value = await self._fetch_snapshot(REQUESTS_STREAM, lambda member: True)
        if value is None:
            return False
        self.index.adopt(from_snapshot(value))
        self.follower.next_offset = self.index.next_offset
        logger.info("index taken from a peer", offset=self.index.next_offset)
        await self.follower.mark_caught_up()
        return True

    async def _fetch_snapshot(
        self, stream: str, is_source: Callable[[Member], bool]
    ) -> dict[str, Any] | None:
        """Return the first snapshot from a peer that ``is_source`` accepts."""
        for member in self.membership.alive(time.monotonic())[1:]:
            if not is_source(member):
                continue
            try:
                reply = await self.peers.client(member.address).call(
                    "snapshot",
                    idl.SnapshotCall(stream),
                    timeout_s=SNAPSHOT_TIMEOUT_S,
                    stall_s=SNAPSHOT_STALL_S,
                )
            except CuminhillError:
                continue
            if reply.status == "snapshot":
                return dict(orjson.loads(reply.value))
        return None

    async def _on_config(self, site: SiteConfig) -> None:
        for driver in self.drivers.values():
            await driver.set_site(site)

    async def _run_config_retention(self) -> None:
        while True:
            await curio.sleep(CONFIG_INTERVAL_S)
            if self._maintains_streams() and self.config.follower.reachable:
                await self.config.append_due_bookmark(self.settings.log_retention_s)
            await self._catch_up_config()

    async def _catch_up_config(self) -> None:
        """Load a newer revision from a peer if the log has not delivered it."""
        value = await self._fetch_snapshot(
            CONFIG_STREAM, lambda member: member.config_revision > self.config.revision
        )
        if value is not None:
            try:
                await self.config.adopt(value)
            except (KeyError, TypeError):
                self.n_bad_records += 1

    def _maintains_streams(self) -> bool:
        """Whether this VM is the one that appends bookmarks for all."""
        alive = [item.vm for item in self.membership.alive(time.monotonic())]
        return leader_of(CONFIG_STREAM, alive) == self.settings.vm

    def _led_shards(self) -> list[str]:
        return [name for name, driver in self.drivers.items() if driver.leading]

    async def _on_record(self, offset: int, value: dict[str, Any]) -> None:
        try:
            record = record_from_dict(value)
        except (KeyError, TypeError):
            self.n_bad_records += 1
            if not has_known_type(value):
                self.index.skip(offset)
            return
        self.index.apply(offset, record)
        if isinstance(record, LeaderRecord) and record.shard in self.drivers:
            await self.drivers[record.shard].on_leader_record(offset, record)
        for driver in self.drivers.values():
            await driver.on_folded(record)

    async def _on_gap(self, start: int) -> None:
        logger.warning("log records were missed; rebuilding the index", start=start)
        self.index.reset_to(start, None)

    async def _on_caught_up(self) -> None:
        for driver in self.drivers.values():
            await driver.reconcile_requests()

    async def _run_vm_list(self) -> None:
        listing = make_vm_listing(
            self.settings.vm_list_address, self.settings.source_host
        )
        while True:
            try:
                self.vm_list = await listing.read()
            except CuminhillError:
                await curio.sleep(VM_LIST_INTERVAL_S)
                continue
            self._update_entry_vms(
                [item for item in self.vm_list if item.role == ENTRY]
            )
            await self._set_rosters()
            await curio.sleep(VM_LIST_INTERVAL_S)

    def _update_entry_vms(self, listed: list[VmEntry]) -> None:
        domain = self.settings.failure_domain
        self.peers.seeds = [item.address for item in listed]
        self.peers.local_seeds = [
            item.address for item in listed if item.failure_domain == domain
        ]
        self.membership.set_leaving(item.vm for item in listed if item.leaving)

    async def _set_rosters(self) -> None:
        workers = [
            item
            for item in self.vm_list
            if item.role == WORKER
            and item.failure_domain == self.settings.failure_domain
        ]
        names = list(self.drivers)
        for shard, driver in self.drivers.items():
            await driver.set_roster(
                [item for item in workers if shard_of(item.vm, names) == shard]
            )

    async def _run_leadership(self) -> None:
        await curio.sleep(JOIN_WAIT_S)
        while True:
            now = time.monotonic()
            if self.membership.stale(now):
                await curio.sleep(LEADERSHIP_INTERVAL_S)
                continue  # the process was paused, so its view is out of date
            candidates = [
                member.vm
                for member in self.membership.alive(now)
                if member.failure_domain == self.settings.failure_domain
            ]
            for shard, driver in self.drivers.items():
                leader = leader_of(shard, candidates)
                if leader == self.settings.vm and not driver.leading:
                    if not driver.may_lead:
                        continue
                    await driver.begin_term()
                    await self._set_rosters()
                elif leader not in {None, self.settings.vm} and driver.leading:
                    await driver.step_down()
                    await self.peers.announce()
            await curio.sleep(LEADERSHIP_INTERVAL_S)


def make_application(settings: Settings) -> Application:
    """Return a daemon that has not been started."""
    return Application(settings)
