"""Incremental parsing of the responses on one connection, bounded in bytes."""

from __future__ import annotations

import httptools

MAX_HEADER_BYTES = 65_536  # of one response, interim responses included
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_BUFFERED_BYTES = 32 * 1024 * 1024  # of all responses in progress; a small host has 200 MB
SMALL_RESPONSE_BYTES = 256 * 1024  # accepted even if large responses fill the buffers
FIRST_STATUS = 100  # of HTTP; a status outside the range is no response
LAST_STATUS = 599
FIRST_FINAL_STATUS = 200  # responses with a lower status precede another one


class ResponseBuffers:
    """The bytes that all responses in progress hold together."""

    __slots__ = ("used_bytes",)

    def __init__(self) -> None:
        self.used_bytes = 0

    def grow(self, held_bytes: int, added_bytes: int) -> bool:
        """Add bytes to a response, and return whether they are accepted.

        :param held_bytes: size of the response so far
        """
        limit_bytes = MAX_RESPONSE_BYTES
        if self.used_bytes + added_bytes > MAX_BUFFERED_BYTES:
            limit_bytes = SMALL_RESPONSE_BYTES
        if held_bytes + added_bytes > limit_bytes:
            return False
        self.used_bytes += added_bytes
        return True

    def release(self, held_bytes: int) -> None:
        """Give back the bytes of a response."""
        self.used_bytes -= held_bytes


class ResponseParser:
    """Parses one response after another.

    ``headers`` and ``status`` belong to the final response, as far as it has arrived; those of
    interim responses are discarded. ``has_surplus`` says that bytes followed the complete response,
    which belong to no request. ``may_reuse`` says that the server keeps the connection open.

    ``parts`` is the number of parts of the body that the last bytes held; each costs time.

    ``_trailing_bytes`` counts the bytes since the last part of the body, as those of a trailer are
    held until it is complete. A body with a transfer coding other than chunks could not be passed
    on as it is, so that such a response is invalid (``_has_other_coding``). So is one whose status
    is not one of HTTP (``_has_invalid_status``), with everything behind it.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_buffers",
        "_fed_bytes",
        "_has_invalid_status",
        "_has_length",
        "_has_other_coding",
        "_is_head",
        "_is_too_large",
        "_parser",
        "_trailing_bytes",
        "has_all_headers",
        "has_surplus",
        "headers",
        "is_complete",
        "may_reuse",
        "parts",
        "status",
    )

    def __init__(self, buffers: ResponseBuffers) -> None:
        self._buffers = buffers
        self._parser = httptools.HttpResponseParser(self)
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self.parts = 0
        self.start()

    def start(self, *, is_head: bool = False) -> None:
        """Expect the response to a new request.

        :param is_head: whether the response has no body, whatever its headers say
        """
        self.discard()
        self._is_head = is_head
        self._fed_bytes = 0
        self._trailing_bytes = 0
        self._has_length = self._has_other_coding = False
        self._is_too_large = False
        self._has_invalid_status = False
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.has_all_headers = False
        self.is_complete = False
        self.has_surplus = False
        self.may_reuse = False

    def discard(self) -> None:
        """Give back the bytes of the body."""
        self._buffers.release(self._body_bytes)
        self._body = b""
        self._body_bytes = 0

    @property
    def body(self) -> bytes:
        """Return the body as far as it has arrived."""
        return bytes(self._body)

    def feed(self, data: bytes) -> str:
        """Parse further bytes.

        :returns: why they are no valid response, empty if they are
        """
        if not self.has_all_headers:
            self._fed_bytes += len(data)
        self._trailing_bytes += len(data)
        self.parts = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return "the server changes the protocol"
        except httptools.HttpParserError as error:
            if self.is_complete:
                self.has_surplus = True
                return ""
            return str(error) or "the response is invalid"
        if self._has_invalid_status:
            return "the status is not one of HTTP"
        if self._is_too_large:
            return "the response is too large"
        if self._has_other_coding and self.has_all_headers:
            return "the transfer coding is unknown"
        if not self.has_all_headers and self._fed_bytes > MAX_HEADER_BYTES:
            return "the header section is too long"
        is_in_body = self.has_all_headers and not self.is_complete
        if is_in_body and self._trailing_bytes > MAX_HEADER_BYTES:
            return "the trailer section is too long"
        return ""

    def end(self) -> bool:
        """Return whether the response is complete if the server closes the connection now."""
        if self.has_all_headers and not self._has_length:
            self.is_complete = True
        return self.is_complete

    def on_message_begin(self) -> None:
        """Handle the first byte of a response; httptools calls this."""
        if self.is_complete:
            self.has_surplus = True

    def on_status(self, _reason: bytes) -> None:
        """Handle a part of the reason phrase, which follows the status; httptools calls this."""
        if not self.has_all_headers:
            self._check_status()

    def _check_status(self) -> bool:
        """Return whether every status so far is one of HTTP."""
        if not FIRST_STATUS <= self._parser.get_status_code() <= LAST_STATUS:
            self._has_invalid_status = True
        return not self._has_invalid_status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer; httptools calls this."""
        if self.has_all_headers or not self._check_status():
            return
        if not self.headers:
            self.status = self._parser.get_status_code()
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        lower = name.lower()
        if lower == b"content-length":
            self._has_length = True
        elif lower == b"transfer-encoding":
            self._has_length = True
            self._has_other_coding |= value.strip().lower() != b"chunked"

    def on_headers_complete(self) -> None:
        """Handle the end of a header section; httptools calls this."""
        if self.has_all_headers or not self._check_status():
            return
        self.status = self._parser.get_status_code()
        if self.status < FIRST_FINAL_STATUS:
            self.status = 0
            self.headers = []
            self._has_length = self._has_other_coding = False
            return
        self.has_all_headers = True
        if self._is_head:
            self.is_complete = True  # the parser waits for a body, so the connection must end

    def on_body(self, chunk: bytes) -> None:
        """Handle a part of the body; httptools calls this."""
        self.parts += 1
        self._trailing_bytes = 0
        if self.is_complete or self._is_too_large:
            self.has_surplus |= self.is_complete
        elif self._buffers.grow(self._body_bytes, len(chunk)):
            self._append(chunk)
            self._body_bytes += len(chunk)
        else:
            self._is_too_large = True
            self.discard()

    def _append(self, chunk: bytes) -> None:
        """Append to the body; small chunks are not kept as objects of their own."""
        if not self._body:
            self._body = chunk
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += chunk

    def on_message_complete(self) -> None:
        """Handle the end of a response; httptools calls this."""
        if self.has_all_headers and not self.is_complete:
            self.is_complete = True
            self.may_reuse = self._parser.should_keep_alive()
