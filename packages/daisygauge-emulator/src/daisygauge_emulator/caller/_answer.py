"""Reads one answer and checks its content."""

from __future__ import annotations

from .._content import answer_body, digest
from ._exchange import (
    REQUEST_REJECTED,
    Closed,
    Connection,
    Data,
    End,
    Exchange,
    HeaderBlock,
    Reset,
)
from ._outcome import Answered, Defect, NotRun, Outcome, Unknown
from ._request import Request

OUTCOME_HEADER = "x-daisygauge-outcome"
HTTP_OK = 200


class AnswerReader:
    """Reads the events of one exchange and derives the outcome.

    :param service: id of the service that should answer.
    """

    def __init__(self, *, service: str, request: Request) -> None:
        self.service = service
        self.request = request
        self.headers: dict[str, str] = {}
        self.body = bytearray()

    async def read(self, connection: Connection, exchange: Exchange) -> Outcome:
        """Read events until the exchange ends and return the outcome."""
        while True:
            event = await exchange.events.get()
            match event:
                case HeaderBlock():
                    self.headers = {
                        name.decode(): value.decode() for name, value in event.headers
                    }
                case Data():
                    self.body += event.data
                case End():
                    return self.classify(host=connection.exchanges.host)
                case Reset(error_code=code) if code == REQUEST_REJECTED:
                    return NotRun(reason="request rejected")
                case Reset(error_code=code):
                    return Unknown(
                        reason=f"stream reset {code:#x}",
                        host=connection.exchanges.host,
                        cut=True,
                    )
                case Closed(reason=reason):
                    return Unknown(
                        reason=f"connection closed: {reason}",
                        host=connection.exchanges.host,
                        cut=True,
                    )

    def classify(self, *, host: str | None) -> Outcome:
        """Return the outcome of a complete answer, based on its headers.

        :param host: ``x-daisygauge-host`` of the connection, if received.
        """
        outcome = self.headers.get(OUTCOME_HEADER)
        if outcome == "not-run":
            retry_after = self.headers.get("retry-after")
            return NotRun(
                reason=f"status {self.headers.get(':status')}",
                retry_after_seconds=float(retry_after) if retry_after else None,
            )
        if outcome is not None:
            return Unknown(reason=f"outcome {outcome}", host=host)
        return Answered(
            status=int(self.headers.get(":status", 0)),
            headers=self.headers,
            body=bytes(self.body),
            defects=self.find_defects(),
        )

    def find_defects(self) -> frozenset[Defect]:
        """Return the differences between the answer and the expected one."""
        defects = set()
        if self.headers.get("x-service", self.service) != self.service:
            defects.add(Defect.WRONG_SERVICE)
        length = self.headers.get("content-length")
        if length is not None and int(length) != len(self.body):
            defects.add(Defect.WRONG_LENGTH)
        if self.headers.get(":status") != str(HTTP_OK):
            return frozenset(defects)
        if self.headers.get("x-service") != self.service:
            defects.add(Defect.WRONG_SERVICE)
        if self.headers.get("x-request-id") != self.request.request_id:
            defects.add(Defect.WRONG_REQUEST)
        body = bytes(self.body)
        expected = answer_body(self.request.request_id, size=len(body))
        if body != expected or digest(body) != self.headers.get("x-digest"):
            defects.add(Defect.WRONG_BODY)
        return frozenset(defects)
