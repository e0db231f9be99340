"""The connection of one router: handles its messages in turns, and encodes what is sent to it.

A request is `[0, id, class, [fields, body]]`, its response `[1, id, error, result]`, a notification
`[2, name, params]`.

All times are in tenths of a millisecond unless a name says otherwise.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from ..admission.types import MS
from .buffer import Buffer, MalformedMessageError
from .connection import Connection
from .message_reader import MessageReader
from .messagepack import IncompleteMessageError, pack
from .request_context import DecodedRequest, RequestContext
from .request_decoding import decode_request
from .scheduler import Timer

if TYPE_CHECKING:
    from .clients import Clients

OVERLOADED, FAILED = "Overloaded", "Failed"  # error texts of a rejection and of a failed request
MAX_OPEN_REQUESTS = 32  # per connection
MAX_CALLERS_PER_CONNECTION = 8  # it belongs to one router; further numbers get no quota of their own
CLOSING_TIMEOUT = 20_000  # 2 s from the `closing` notification to the close, if no request is open
MAX_TURN_MESSAGES = 16  # that one connection has handled before the others get their turn
MAX_TURN_VALUES = 1_024  # in these messages


class MessageType:
    """The first item of a message."""

    REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2


class Client:
    """The connection of one router.

    Attributes:
        open_requests: Requests without a response, by message id.
        reader: Reads the messages from the buffer of the connection.
        callers: The numbers of callers that requests named, up to `MAX_CALLERS_PER_CONNECTION`.
        highest_message_id: The highest id received; ids of requests must increase on a connection.
        closing_sent: Whether the router was notified that this connection closes.
        closing_timer: Closes the connection after that, if the router does not.
    """

    def __init__(self, clients: Clients, connection: Connection) -> None:
        """Wrap a connection that was accepted."""
        self.clients, self.connection = clients, connection
        self.open_requests: dict[int, RequestContext] = {}
        self.reader = MessageReader()
        self.callers: dict[int, None] = {}
        self.highest_message_id = 0
        self.closing_sent = False
        self.closing_timer: Timer | None = None

    def on_data(self, buffer: Buffer) -> None:
        """Handle the complete messages in the buffer, as far as one turn goes.

        The rest waits for the next turn, so that no connection keeps the others from theirs.

        Raises:
            MalformedMessageError: If the data is malformed; messages before it are handled.
        """
        message_count = value_count = 0
        self.connection.has_backlog = False
        try:
            while len(buffer) and not self.connection.has_backlog:
                message, values = self.reader.next_message(buffer)
                message_count, value_count = message_count + 1, value_count + values
                self.handle_message(message)
                is_turn_over = message_count >= MAX_TURN_MESSAGES or value_count >= MAX_TURN_VALUES
                self.connection.has_backlog = is_turn_over and len(buffer) > 0
        except IncompleteMessageError:
            pass
        self.clients.on_messages_read(self, has_message=message_count > 0, has_partial=len(buffer) > 0)

    def handle_message(self, message: Any) -> None:
        """Handle a health check, a request or a notification.

        A request beyond `MAX_OPEN_REQUESTS` gets an error; an unknown notification is only counted.

        Raises:
            MalformedMessageError: If it is none of these.
        """
        match message:
            case [MessageType.REQUEST, int(), str(method), list(params)] if self.highest_message_id < message[
                1
            ] < 1 << 32:
                message_id = self.highest_message_id = message[1]
                # A request class may be named "ping" too; its requests have a body after the fields.
                if method == "ping" and len(params) < 2:
                    self.clients.counters.count("clients.pings")
                    self.send(
                        pack(
                            [
                                MessageType.RESPONSE,
                                message_id,
                                None,
                                [self.clients.healthy, self.clients.health_details()],
                            ]
                        )
                    )
                elif len(self.open_requests) >= MAX_OPEN_REQUESTS:
                    self.clients.counters.count("clients.too_many")
                    self.send_error(message_id, f"more than {MAX_OPEN_REQUESTS} open transactions")
                else:
                    self.clients.on_request(self, message_id, partial(self.decode_request, method, params))
            case [MessageType.NOTIFICATION, "abort", [int(message_id)]]:
                context = self.open_requests.get(message_id)
                if context is not None:
                    self.clients.on_disconnected(context)
            case [MessageType.NOTIFICATION, str(), list()]:
                self.clients.counters.count("clients.unknown_news")
            case [MessageType.REQUEST, int(), *_]:
                raise MalformedMessageError(
                    f"request id {message[1]} is not above {self.highest_message_id}, or malformed request"
                )
            case _:
                raise MalformedMessageError("unknown type or form of message")

    def decode_request(self, method: str, params: list[Any]) -> DecodedRequest:
        """Decode a request; one with too many different callers on its connection counts as the first one's.

        Raises:
            InvalidInputError: If a field or the body is invalid; its text is sent to the router.
        """
        decoded = decode_request(method, params)
        if len(self.callers) < MAX_CALLERS_PER_CONNECTION:
            self.callers[decoded.caller] = None
        elif decoded.caller not in self.callers:
            decoded.caller = next(iter(self.callers))
        return decoded

    # ---- responses -----------------------------------------------------------------------------------------

    def send_result(self, message_id: int, body: bytes) -> None:
        """Send the result of a request that succeeded."""
        self.send(pack([MessageType.RESPONSE, message_id, None, [body, {}]]))

    def send_rejection(self, message_id: int, retry_after: int, stop_retrying: bool) -> None:
        """Send the rejection of a request that never ran.

        Args:
            message_id: Id of the request's message.
            retry_after: Advised delay before a retry; sent in whole milliseconds, rounded up. 0 sends none.
            stop_retrying: Whether the router shall not retry on another app server either.
        """
        fields = {"holdoff": str(-(-retry_after // MS))} if retry_after else {}
        if stop_retrying:
            fields["nomore"] = "1"
        self.send(pack([MessageType.RESPONSE, message_id, [OVERLOADED, fields], None]))

    def send_error(self, message_id: int, reason: str = FAILED) -> None:
        """Send that a request failed, with the error text `reason` and no advised delay before a retry."""
        self.send(pack([MessageType.RESPONSE, message_id, [reason, {}], None]))

    def send(self, message: bytes) -> None:
        """Send an encoded message at the end of the pass; this counts as a use of the connection."""
        self.connection.write(message)
        self.clients.update_idle(self)

    def has_peer_closed(self) -> bool:
        """Return whether the connection has ended, or its end has arrived, perhaps behind unread data."""
        return not self.connection.open or self.connection.has_peer_closed()

    def send_closing(self, timeout: int = CLOSING_TIMEOUT) -> None:
        """Notify the router that the connection closes; do nothing if it was notified before.

        The router sends no new requests on it, and closes it after the last response. After `timeout` this
        side closes it.
        """
        if not self.closing_sent and self.connection.open:
            self.closing_sent = True
            self.connection.write(pack([MessageType.NOTIFICATION, "closing", []]))
            self.clients.counters.count("clients.told_closing")
            self.schedule_close(timeout)

    def schedule_close(self, timeout: int) -> None:
        """Close the connection after `timeout` unless it is in use then; if it is, check again as often.

        It is in use while a request is open or a message incomplete.
        """

        def close_or_reschedule() -> None:
            if self in self.clients.active and not self.clients.close_if_idle(self, "closing"):
                self.schedule_close(timeout)

        self.closing_timer = self.clients.scheduler.at(
            self.clients.scheduler.now + timeout, close_or_reschedule
        )

    def on_malformed(self, reason: str) -> None:
        """Close the connection gracefully; requests read before the malformed data get their responses."""
        self.clients.counters.count("clients.malformed")
        self.clients.log.fault("malformed_router_message", why=reason)
        self.clients.close_client(self, reason)
