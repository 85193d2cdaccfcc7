"""Requests of a caller and the service that they are sent to."""

from __future__ import annotations

import uuid

from attrs import field, frozen

from ._exchange import Headers


@frozen(kw_only=True)
class Target:
    """Address and identity of a service.

    :param service: expected value of X-Service.
    :param server_name: name in the server's certificate.
    :param ca_path: file with the certificate of the certificate authority.
    """

    service: str
    host: str
    port: int
    server_name: str
    ca_path: str


@frozen(kw_only=True)
class Request:
    """A request of a caller.

    :param path: path with query.
    :param deadline_seconds: time after which the answer is useless, None for no
        deadline.
    :param first_host: ``x-daisygauge-host`` of an earlier attempt with the same
        idempotency key.
    """

    path: str
    method: str = "GET"
    request_id: str = field(factory=lambda: uuid.uuid4().hex)
    idempotency_key: str | None = None
    deadline_seconds: float | None = 10.0
    first_host: str | None = None
    body: bytes = b""

    def headers(self, target: Target) -> Headers:
        """Return the header section for a target."""
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
