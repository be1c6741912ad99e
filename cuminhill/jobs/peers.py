"""Calls between entry VMs: appends and requests for advice on behalf of another VM."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Any

import curio
import orjson
import structlog
from pydantic import Field

from ..clock import boottime
from ..errors import (
    CuminhillError,
    FencedError,
    OverloadedError,
    ProtocolError,
    UnavailableError,
    UnknownOutcomeError,
)
from ..rpc import RpcClient, idl
from ..util.json_input import load_json
from ..util.validation import MAX_COUNT, Count, Message, validate_json
from .advice import AdviceAnswer
from .advicequeue import AdviceQueue, AdviceRequest
from .leasebounds import DoneRun, LeaseAges, LeaseQuery, ReleasedRun, TermEnd
from .model import Outcome, TaskKey
from .records import MAX_TIME_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .advice import AdviceCall
    from .advicequeue import AdviceService
    from .journal import LogWriter
    from .records import Member

logger = structlog.get_logger(__name__)

# Time for which a placer that has not answered is not called again.
PLACER_BACKOFF_S = 0.7
# Time for an answer before the next VM is tried.
APPEND_CALL_TIMEOUT_S = 0.8
# Shortest remaining time in which another VM is still called: one whose appends are
# refused reports that after 0.25 s, and without its answer the outcome is unknown.
MIN_APPEND_CALL_TIMEOUT_S = 0.4
# Calls to other VMs for one caller; more would only add load while the log refuses all
# of them.
MAX_APPEND_CALLS = 3
REPLY_SLACK_S = 0.2  # for the reply to arrive
# A VM that has not answered within this time is pinged before a caller's records are
# sent to it: after a call into a partition it is unknown whether they were stored.
CONTACT_VALID_S = 0.25
PING_TIMEOUT_S = 0.4
# Pings in a row without an answer after which a connection with calls under way is
# closed: a VM that is slow may still answer them, but after a partition a dead
# connection would keep the VM out of use until they time out.
MAX_FAILED_PINGS = 2
MAX_WAIT_S = 60.0  # that another VM may ask for
MAX_KEY_BYTES = 255  # the length of a key is one byte
MAX_RECORD_BYTES = 250_000  # the log takes records of 256 KB
STATUS_OK, STATUS_UNAVAILABLE = str(Outcome.OK), "unavailable"
STATUS_BUSY = "busy"  # too many calls to answer this one in time
_OUTCOMES = {str(outcome): outcome for outcome in Outcome}


@dataclass(eq=False)
class JobPeers:
    """Client and server side of the calls between entry VMs.

    Parameters
    ----------
    vm : str
        Name of this VM.
    advice : AdviceService
        Placement advice; the service serves the calls of each VM separately.
    writer : LogWriter
        Appends to the journal.
    placer_writer : LogWriter or None
        Writer of this VM's term while it is the placer.
    end_term : callable
        Takes the number of a term and returns since when this process extends no lease
        for it and never will; None if it still may.
    lease_ages : callable
        Takes a `LeaseQuery` and returns how long ago this VM read what it names; None
        if it has not.
    """

    vm: str
    advice: AdviceService
    writer: LogWriter
    rng: random.Random
    end_term: Callable[[int], TermEnd | None]
    lease_ages: Callable[[LeaseQuery], LeaseAges | None]
    source_host: str = ""
    members: dict[str, Member] = field(default_factory=dict)
    placer_writer: LogWriter | None = None
    advice_queue: AdviceQueue = field(init=False)
    _placer_backoff_until: float = 0.0
    _contacted_at: dict[str, float] = field(default_factory=dict)
    # Pings in a row without an answer, and when the newest of them was counted, by VM.
    _failed_pings: dict[str, tuple[int, float]] = field(default_factory=dict)
    _clients: dict[str, RpcClient] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.advice_queue = AdviceQueue(self.advice)

    def handlers(self) -> dict[str, Any]:
        """Return the handlers of the RPC server."""
        return {
            "ping": self._serve_ping,
            "append": self._serve_append,
            "advise": self._serve_advise,
            "term_ended": self._serve_term_ended,
            "lease_ages": self._serve_lease_ages,
        }

    def _client(self, vm: str) -> RpcClient:
        member = self.members.get(vm)
        if member is None:
            raise UnavailableError("no address", step="connect", peer=vm)
        return self._client_at(member.address)

    def _client_at(self, address: str) -> RpcClient:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address, self.source_host)
        return client

    async def ask_advice(
        self, vm: str, call: AdviceCall, wait_s: float
    ) -> AdviceAnswer:
        """Request advice through a VM.

        Raises
        ------
        OverloadedError
            If the VM would not answer in time for the calls that it has; the call was
            not sent to the service.
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no usable answer.
        """
        if vm == self.vm:
            request = AdviceRequest(
                call.step, list(call.workers), call.cost_s, call.term
            )
            return await self.advice_queue.ask(request, wait_s)
        # A VM that is cut off is found by a ping sooner than by the call.
        await self._ensure_responsive(vm)
        message = idl.AdviseCall(
            call.step, list(call.workers), wait_s, call.cost_s, call.term
        )
        reply = await self._call(vm, "advise", message, wait_s)
        if reply.status == STATUS_BUSY:
            raise OverloadedError(
                reply.value.decode(errors="replace"),
                step="advise",
                peer=vm,
                backlog_s=max(0.0, _sound_wait(reply.backlog_s)),
            )
        if reply.status != STATUS_OK:
            # The service may have taken the call, and still be working on it.
            text = reply.value.decode(errors="replace")
            raise UnknownOutcomeError(text, step="advise", peer=vm)
        return AdviceAnswer(
            _decode_pairs(reply.value, "advise", vm),
            _sound_wait(reply.waited_s),
            _sound_wait(reply.backlog_s),
        )

    async def ping(self, vm: str) -> None:
        """Return if a VM can be reached.

        Raises
        ------
        UnavailableError
            If it does not answer.
        """
        if vm != self.vm:
            await self._ping(vm)

    async def ask_term_ended(self, address: str, term: int) -> TermEnd | None:
        """Ask the process at an address since when a term has ended for good.

        Returns
        -------
        end : TermEnd or None
            None if the process may still extend leases for the term.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no usable answer. A process of an earlier version answers that
            the method is unknown.
        """
        client = self._client_at(address)
        try:
            reply = await client.call(
                "term_ended", idl.TermCall(term), timeout_s=PING_TIMEOUT_S
            )
        except UnknownOutcomeError:
            await client.close()
            raise
        return _decode_term_end(reply.value) if reply.status == STATUS_OK else None

    async def ask_lease_ages(self, vm: str, query: LeaseQuery) -> LeaseAges | None:
        """Ask a VM how long ago it read what a claim inherits about leases.

        Returns
        -------
        ages : LeaseAges or None
            None if the VM has not read the claim yet, or has read something else.

        Raises
        ------
        UnavailableError, UnknownOutcomeError, ProtocolError
            If there is no usable answer. A VM of an earlier version answers that the
            method is unknown.
        """
        message = idl.LeaseAgesCall(query.term, query.nonce, query.offset)
        wait_s = PING_TIMEOUT_S - REPLY_SLACK_S
        reply = await self._call(vm, "lease_ages", message, wait_s)
        if reply.status != STATUS_OK:
            return None
        return _decode_lease_ages(reply.value, vm)

    async def append_by_placer(
        self, placer: str, records: list[tuple[str, bytes]], wait_s: float
    ) -> Outcome | None:
        """Append to the journal through the placer.

        Returns
        -------
        outcome : Outcome or None
            None if the placer cannot be called or cannot reach the journal; the
            records were then not appended and never will be.

        Raises
        ------
        UnknownOutcomeError
            If the placer did not answer; the records may have been appended.
        """
        if placer == self.vm:
            if self.placer_writer is None:
                return None
            return await _append_within(self.placer_writer, records, wait_s)
        if boottime() < self._placer_backoff_until:
            return None
        rows = orjson.dumps([[key, value.decode()] for key, value in records])
        try:
            await self._ensure_responsive(placer)
            message = idl.AppendCall(rows, wait_s)
            reply = await self._call(placer, "append", message, wait_s)
        except (UnavailableError, ProtocolError) as exc:
            self._placer_backoff_until = boottime() + PLACER_BACKOFF_S
            logger.info("placer cannot be called", placer=placer, error=str(exc))
            return None
        except UnknownOutcomeError:
            self._placer_backoff_until = boottime() + PLACER_BACKOFF_S
            raise
        return _OUTCOMES.get(reply.status)

    async def append(self, records: list[tuple[str, bytes]], wait_s: float) -> None:
        """Append to the journal through another VM.

        Raises
        ------
        UnavailableError
            If the records were certainly not appended.
        UnknownOutcomeError
            If they may have been.
        """
        give_up_at = boottime() + wait_s
        others = [vm for vm in self.members if vm != self.vm]
        self.rng.shuffle(others)
        rows = orjson.dumps([[key, value.decode()] for key, value in records])
        uncertain: CuminhillError | None = None
        n_refused = 0
        for vm in others:
            left_s = min(APPEND_CALL_TIMEOUT_S, give_up_at - boottime())
            if left_s < MIN_APPEND_CALL_TIMEOUT_S or n_refused >= MAX_APPEND_CALLS:
                break
            try:
                await self._ensure_responsive(vm)
                message = idl.AppendCall(rows, left_s)
                reply = await self._call(vm, "append", message, left_s)
            except (UnavailableError, ProtocolError):
                continue
            except UnknownOutcomeError as exc:
                uncertain = exc
                continue
            if reply.status == STATUS_OK:
                return
            n_refused += 1
            if reply.status == Outcome.UNCERTAIN:
                uncertain = UnknownOutcomeError("uncertain", step="append", peer=vm)
        if uncertain is not None:
            raise uncertain
        raise UnavailableError("no VM reaches the journal", step="append")

    async def _call(self, vm: str, method: str, message: Any, wait_s: float) -> Any:
        client = self._client(vm)
        sent_at = boottime()
        try:
            reply = await client.call(method, message, timeout_s=wait_s + REPLY_SLACK_S)
        except UnknownOutcomeError:
            # The connection may be dead; the next call opens a new one.
            if method != "ping" or self._closes_after_ping(vm, client, sent_at):
                await client.close()
            raise
        self._failed_pings.pop(vm, None)
        self._contacted_at[vm] = boottime()
        return reply

    def _closes_after_ping(self, vm: str, client: RpcClient, sent_at: float) -> bool:
        """Count a ping without an answer; return whether to close its connection.

        Pings under way at the same time count once: one moment of silence is no sign of
        a dead connection.
        """
        n_failed, counted_at = self._failed_pings.get(vm, (0, 0.0))
        if sent_at >= counted_at:
            n_failed += 1
            self._failed_pings[vm] = n_failed, boottime()
        if n_failed >= MAX_FAILED_PINGS:
            return True
        return not client.has_calls_except("ping")

    async def _ensure_responsive(self, vm: str) -> None:
        """Ping a VM unless it has answered a moment ago.

        Raises
        ------
        UnavailableError
            If it does not answer.
        """
        if boottime() - self._contacted_at.get(vm, -CONTACT_VALID_S) >= CONTACT_VALID_S:
            await self._ping(vm)

    async def _ping(self, vm: str) -> None:
        try:
            await self._call(vm, "ping", idl.PingCall(), PING_TIMEOUT_S - REPLY_SLACK_S)
        except UnknownOutcomeError as exc:
            raise UnavailableError("no answer to ping", step="ping", peer=vm) from exc
        except ProtocolError:
            # A VM of an earlier version replies that the method is unknown.
            self._contacted_at[vm] = boottime()

    async def _serve_ping(self, _call: Any) -> Any:
        return idl.Reply(STATUS_OK, b"")

    async def _serve_term_ended(self, call: Any) -> Any:
        end = self.end_term(call.term)
        if end is None:
            return idl.Reply(STATUS_UNAVAILABLE, b"")
        data: dict[str, Any] = {"for_s": end.for_s}
        if end.released:
            data["released"] = [
                [*item.key, item.run, min(MAX_COUNT, int(max(0.0, item.away_s) * 1000))]
                for item in end.released
            ]
        if end.done:
            data["done"] = [[*item.key, item.run] for item in end.done]
        return idl.Reply(STATUS_OK, orjson.dumps(data))

    async def _serve_lease_ages(self, call: Any) -> Any:
        ages = self.lease_ages(LeaseQuery(call.term, call.nonce, call.offset))
        if ages is None:
            return idl.Reply(STATUS_UNAVAILABLE, b"")
        return idl.Reply(STATUS_OK, orjson.dumps(ages))

    async def _serve_append(self, call: Any) -> Any:
        _check_wait(call.wait_s)
        records = _decode_records(call.records)
        writer = self.placer_writer or self.writer
        outcome = await _append_within(writer, records, call.wait_s)
        return idl.Reply(STATUS_UNAVAILABLE if outcome is None else str(outcome), b"")

    async def _serve_advise(self, call: Any) -> Any:
        _check_wait(call.wait_s)
        _check_wait(call.cost_s)
        request = AdviceRequest(call.step, call.workers, call.cost_s, call.term)
        try:
            answer = await self.advice_queue.ask(request, call.wait_s)
        except OverloadedError as exc:
            return idl.Reply(STATUS_BUSY, str(exc).encode(), -1.0, exc.backlog_s)
        except CuminhillError as exc:
            return idl.Reply(STATUS_UNAVAILABLE, str(exc).encode())
        return idl.Reply(
            STATUS_OK, orjson.dumps(answer.tickets), answer.waited_s, answer.backlog_s
        )


class _TermEndBody(Message):
    for_s: Annotated[float, Field(ge=0, le=MAX_TIME_S)]
    # Job, occurrence, step, task, run, and the time away in milliseconds.
    released: tuple[tuple[str, Count, Count, Count, Count, Count], ...] = ()
    # Job, occurrence, step, task and run.
    done: tuple[tuple[str, Count, Count, Count, Count], ...] = ()


def _decode_term_end(data: bytes) -> TermEnd:
    """Decode since when a term has ended, and the runs that it knew to be over.

    Builds before the field give none, and a value out of range is not believed; the
    term has then ended by the time of the answer.
    """
    try:
        body = validate_json(_TermEndBody, data, step="term ended")
    except ProtocolError:
        return TermEnd()
    released = (
        ReleasedRun(TaskKey(job_id, occurrence, step, task), run, away_ms / 1000)
        for job_id, occurrence, step, task, run, away_ms in body.released
    )
    done = (
        DoneRun(TaskKey(job_id, occurrence, step, task), run)
        for job_id, occurrence, step, task, run in body.done
    )
    return TermEnd(body.for_s, tuple(released), tuple(done))


class _LeaseAgesBody(Message):
    record_s: Annotated[float, Field(ge=0, le=MAX_TIME_S)]
    newest_s: Annotated[float, Field(ge=0, le=MAX_TIME_S)]


def _decode_lease_ages(data: bytes, peer: str) -> LeaseAges:
    """Decode how long ago a VM read what a claim inherits.

    Raises
    ------
    ProtocolError
        If an age is missing or out of range, or if the lease record would be newer than
        the newest record.
    """
    body = validate_json(_LeaseAgesBody, data, step="lease ages", peer=peer)
    if body.record_s < body.newest_s:
        raise ProtocolError("ages out of order", step="lease ages", peer=peer)
    return LeaseAges(body.record_s, body.newest_s)


def _decode_pairs(data: bytes, step: str, peer: str = "") -> list[tuple[str, str]]:
    """Decode a list of pairs of texts.

    Raises
    ------
    ProtocolError
        If the data has another form.
    """
    rows = load_json(data, step=step, peer=peer)
    if not isinstance(rows, list) or not all(_is_pair(row) for row in rows):
        raise ProtocolError("no list of pairs of texts", step=step, peer=peer)
    return [(first, second) for first, second in rows]


def _is_pair(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 2
        and all(isinstance(item, str) for item in row)
    )


def _decode_records(data: bytes) -> list[tuple[str, bytes]]:
    """Decode records to be appended on behalf of another VM.

    They share an append with records of others, which would fail with them.

    Raises
    ------
    ProtocolError
        If the log would not take one of them.
    """
    records = [(key, value.encode()) for key, value in _decode_pairs(data, "append")]
    for key, value in records:
        n_key = len(key.encode())
        if not 0 < n_key <= MAX_KEY_BYTES or n_key + len(value) > MAX_RECORD_BYTES:
            raise ProtocolError("record out of bounds", step="append")
    return records


def _sound_wait(wait_s: float) -> float:
    """Return a wait that another VM told, -1 if it is unknown or out of range."""
    return wait_s if 0 <= wait_s <= MAX_WAIT_S else -1.0


def _check_wait(wait_s: float) -> None:
    """Check how long a caller wants to wait.

    Raises
    ------
    ProtocolError
        If it is negative, too long or NaN, which would break the order of timeouts.
    """
    if not 0 <= wait_s <= MAX_WAIT_S:
        raise ProtocolError("wait out of range", step="wait")


async def _append_within(
    writer: LogWriter, records: list[tuple[str, bytes]], wait_s: float
) -> Outcome | None:
    """Append within a time; None if the writer cannot reach the journal."""
    if writer.is_unavailable() or writer.is_refused() or writer.fenced:
        return None
    try:
        async with curio.timeout_after(wait_s):
            await writer.append(records, boottime() + wait_s)
    except UnavailableError:
        return Outcome.NOT_DONE
    except FencedError:
        return None
    except (CuminhillError, curio.TaskTimeout) as exc:
        logger.info("append outcome unknown", writer=writer.writer, error=str(exc))
        return Outcome.UNCERTAIN
    return Outcome.OK
