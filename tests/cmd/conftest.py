"""Fake entry VMs on a real HTTP server, and a runner of the tool."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import Any

import curio
import pytest
from click.testing import CliRunner

from cuminhill.cmd.cli import main
from cuminhill.siteconfig import parse_config
from cuminhill.util.http import HttpResponse, HttpServer


@dataclass
class FakeConfig:
    """Configuration shared by several fake VMs, as the log is shared."""

    history: list[dict[str, Any]] = field(default_factory=list)
    config: dict[str, Any] | None = None

    def handle(self, req):
        """Serve the paths of the configuration."""
        if req.path.endswith("/history"):
            return HttpResponse(200, {"history": self.history})
        if req.method == "POST":
            return self._publish(req.json())
        if not self.history:
            return HttpResponse(404, {"error": "no configuration", "step": "config"})
        return HttpResponse(200, self.history[-1] | {"config": self.config})

    def _publish(self, body):
        last = self.history[-1] if self.history else {"revision": 0, "author": ""}
        if body["base_revision"] != last["revision"]:
            lost = {"revision": last["revision"], "author": last["author"]}
            return HttpResponse(409, {"accepted": False, **lost})
        self.config = body["config"]
        digest = parse_config(body["config"], "log").digest()
        row = {"revision": last["revision"] + 1, "author": body["author"]}
        self.history.append({**row, "digest": digest, "at": 1_700_000_000.0})
        return HttpResponse(200, {"accepted": True, "revision": row["revision"]})


@dataclass
class FakeDaemon:
    """Replies by method and path; a list gives its items in turn.

    The next ``n_lost_replies`` requests are carried out but get no reply.
    """

    replies: dict[tuple[str, str], Any]
    config: FakeConfig
    n_lost_replies: int = 0
    seen: list[tuple[str, str, Any]] = field(default_factory=list)
    address: str = ""

    async def handle(self, req):
        """Record the request and reply to it."""
        body = req.json() if req.body else None
        self.seen.append((req.method, req.path, body))
        reply = self._reply(req)
        if self.n_lost_replies:
            self.n_lost_replies -= 1
            return None
        return reply

    def _reply(self, req):
        if req.path.startswith("/v1/config") and ("", "config") not in self.replies:
            return self.config.handle(req)
        reply = self.replies.get((req.method, req.path)) or self.replies.get(
            ("", "config"), HttpResponse(404, {"error": "no such", "step": "route"})
        )
        if isinstance(reply, list):
            return reply.pop(0) if len(reply) > 1 else reply[0]
        return reply

    def serve(self, ready, stop):
        """Serve until ``stop`` is set."""

        async def run():
            server = HttpServer(self.handle)
            await server.start("127.0.0.1", 0)
            self.address = f"127.0.0.1:{server.port}"
            ready.set()
            await stop.wait()
            await server.close(0)

        curio.run(run)


@pytest.fixture
def make_daemon():
    """Return a function that starts a fake entry VM; all are stopped at the end."""
    started = []
    shared = FakeConfig()

    def start(replies=None, **options):
        daemon = FakeDaemon(replies or {}, shared, **options)
        ready, stop = threading.Event(), curio.UniversalEvent()
        thread = threading.Thread(target=daemon.serve, args=(ready, stop))
        thread.start()
        ready.wait()
        started.append((thread, stop))
        return daemon

    yield start
    for thread, stop in started:
        stop.set()
        thread.join()


@pytest.fixture
def run(monkeypatch):
    """Return a function that runs the tool against given daemons or addresses."""

    def invoke(daemons, *args):
        addresses = ",".join(getattr(item, "address", item) for item in daemons)
        monkeypatch.setenv("CUMINHILL_ADDRESS", addresses)
        return CliRunner().invoke(main, list(args))

    return invoke


@pytest.fixture
def closed_address():
    """Return an address on which nothing listens."""
    sock = curio.socket.socket()
    sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock._socket.close()
    return f"127.0.0.1:{port}"
