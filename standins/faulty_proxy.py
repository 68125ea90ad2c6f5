"""TCP proxy that delays, resets or silently drops traffic, in one or both directions."""

from __future__ import annotations

import asyncio
import socket
import struct

ZERO_LINGER = struct.pack("ii", 1, 0)
CHUNK_BYTES = 65_536
MODES = ("", "delay", "reset", "silent", "cut_answers", "cut_requests")


class FaultyProxy:
    """Forward connections to one address with the fault that ``mode`` names, one of ``MODES``.

    An empty mode injects no fault. ``silent`` drops the bytes of both directions, ``cut_answers``
    and ``cut_requests`` those of one; the connections stay open. A change of the mode also applies
    to open connections. Connections to the target have the caller's source address, so that the
    target can tell callers apart.
    """

    def __init__(self, target_host: str, target_port: int, delay_s: float = 0.05) -> None:
        self.mode = ""
        self.port = 0
        self._target = (target_host, target_port)
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on an address, on a free port by default."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and reset all open connections."""
        self.stop_listening()
        self.reset_connections()

    def stop_listening(self) -> None:
        """Refuse new connections."""
        self._server.close()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._open_writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = writer.get_extra_info("peername")
        if self.mode == "reset" or caller is None:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target, local_addr=(caller[0], 0)
            )
        except OSError:
            _reset(writer)
            return
        self._open_writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, "cut_requests"),
            self._forward(target_reader, writer, "cut_answers"),
            return_exceptions=True,
        )
        writer.close()
        target_writer.close()
        self._open_writers -= {writer, target_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, discard_mode: str
    ) -> None:
        """Forward bytes until this direction ends; the other one may go on.

        :param discard_mode: mode in which the bytes of this direction are discarded
        """
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(self._delay_s)
                if self.mode == "reset":
                    _reset(writer)
                elif self.mode not in ("silent", discard_mode):
                    writer.write(data)
                    await writer.drain()
            writer.write_eof()
        except BaseException:
            writer.close()
            raise


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()
