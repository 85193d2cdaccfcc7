"""Which request class a request belongs to."""

from __future__ import annotations

from daisygauge_records import RequestClass, Service

ANY_METHOD = "*"
# Not idempotent: a request without a configured class never runs twice.
DEFAULT_CLASS = RequestClass(name="default")


def match_class(service: Service, *, method: str, path: str) -> RequestClass:
    """Return the first class whose method and path prefix match."""
    for request_class in service.classes:
        if request_class.method not in (ANY_METHOD, method):
            continue
        if path.startswith(request_class.path_prefix):
            return request_class
    return DEFAULT_CLASS
