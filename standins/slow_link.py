"""TCP relay that simulates a link of little capacity."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import curio

TICK_S = 0.02


@dataclass(eq=False)
class SlowLink:
    """Relay to a server, with a limited rate for each connection and direction.

    Parameters
    ----------
    host : str
        IP address of the server and the relay.
    port : int
        TCP port of the server.
    bytes_s : float, bytes per second
        Rate.
    """

    host: str
    port: int
    bytes_s: float
    n_uploaded_bytes: int = 0
    n_downloaded_bytes: int = 0
    _task: Any = None

    async def start(self) -> str:
        """Relay from a free port and return its address."""
        listener = curio.tcp_server_socket(self.host, 0)
        self._task = await curio.spawn(
            curio.network.run_server, listener, self._serve, daemon=True
        )
        return f"{self.host}:{listener.getsockname()[1]}"

    async def close(self) -> None:
        """Stop the relay."""
        await self._task.cancel()

    async def _serve(self, client: Any, _address: Any) -> None:
        server = await curio.open_connection(self.host, self.port)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._upload, client, server)
            await group.spawn(self._download, server, client)
        await server.close()

    async def _upload(self, client: Any, server: Any) -> None:
        while data := await client.recv(int(self.bytes_s * TICK_S)):
            self.n_uploaded_bytes += len(data)
            await curio.sleep(len(data) / self.bytes_s)
            await server.sendall(data)

    async def _download(self, server: Any, client: Any) -> None:
        while data := await server.recv(int(self.bytes_s * TICK_S)):
            self.n_downloaded_bytes += len(data)
            await curio.sleep(len(data) / self.bytes_s)
            await client.sendall(data)
