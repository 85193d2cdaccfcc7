from daisygauge_records import Endpoint, Key
from daisygauge_wire import KeyRing, Route, decode_connection_id, encode_connection_id

NOW = 1_000.0
KEYS = KeyRing.from_keys([Key(id="a", number=7, secret="11" * 32)])
ROUTE = Route(agent=Endpoint(host="127.0.0.9", port=7000), service=3, incarnation=42)


def test_an_issued_id_decodes_to_its_route():
    issued = encode_connection_id(route=ROUTE, key=KEYS.newest(now=NOW))

    assert decode_connection_id(issued, keys=KEYS, now=NOW) == ROUTE


def test_an_altered_id_is_refused():
    issued = encode_connection_id(route=ROUTE, key=KEYS.newest(now=NOW))
    altered = issued[:5] + bytes([issued[5] ^ 1]) + issued[6:]

    assert decode_connection_id(altered, keys=KEYS, now=NOW) is None
