"""What a caller sends, and where to."""

from __future__ import annotations

import uuid

from attrs import field, frozen

from ._exchange import Headers


@frozen(kw_only=True)
class Target:
    """A service as callers see it.

    :param service: id that X-Service has to name.
    :param server_name: name in the certificate.
    :param ca_path: file with the certificate of the authority.
    """

    service: str
    host: str
    port: int
    server_name: str
    ca_path: str


@frozen(kw_only=True)
class Request:
    """One request.

    :param deadline_seconds: time after which the answer is of no use, or None.
    :param first_host: ``x-daisygauge-host`` to which an earlier try of the same
        idempotency key went.
    """

    path: str
    method: str = "GET"
    request_id: str = field(factory=lambda: uuid.uuid4().hex)
    idempotency_key: str | None = None
    deadline_seconds: float | None = 10.0
    first_host: str | None = None
    body: bytes = b""

    def headers(self, target: Target) -> Headers:
        """Return the header block that is sent."""
        optional = {
            "idempotency-key": self.idempotency_key,
            "x-daisygauge-first": self.first_host,
            "x-deadline-ms": self.deadline_seconds
            and str(int(self.deadline_seconds * 1_000)),
        }
        fields = {
            ":method": self.method,
            ":scheme": "https",
            ":authority": target.server_name,
            ":path": self.path,
            "x-request-id": self.request_id,
            **{name: value for name, value in optional.items() if value is not None},
        }
        return [(name.encode(), value.encode()) for name, value in fields.items()]
