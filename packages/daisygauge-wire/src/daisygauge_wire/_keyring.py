"""Keys that are derived from published secrets and selected by number and time."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

from attrs import frozen
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from daisygauge_records import Key

DERIVED_KEY_BYTES = 32
CONNECTION_ID_TAG_BYTES = 3
DATAGRAM_TAG_BYTES = 8
CIPHER_KEY_BYTES = 16


def derive_key(*, secret: bytes, purpose: bytes, size: int) -> bytes:
    """Derive a key for one purpose, so that no key serves two purposes.

    :param secret: the published secret, 32 bytes.
    :param purpose: at most 16 bytes, mixed in as BLAKE2 personalization
        (RFC 7693).
    :param size: length of the derived key in bytes.
    """
    return hashlib.blake2b(key=secret, person=purpose, digest_size=size).digest()


def _create_tagger(*, key: bytes, size: int) -> Callable[[bytes], bytes]:
    """Return a function that computes keyed BLAKE2b tags.

    The first block, which holds the key, is hashed once and not for each tag.
    """
    create_hasher = hashlib.blake2b(key=key, digest_size=size).copy

    def compute_tag(data: bytes) -> bytes:
        hasher = create_hasher()
        hasher.update(data)
        return hasher.digest()

    return compute_tag


class DerivedKeys:
    """Keys, tag functions and ciphers derived from one published secret."""

    def __init__(self, key: Key) -> None:
        secret = bytes.fromhex(key.secret)
        self.number = key.number
        self.not_before = key.not_before
        self.not_after = key.not_after
        self.connection_id_tag = _create_tagger(
            key=derive_key(secret=secret, purpose=b"cid-tag", size=DERIVED_KEY_BYTES),
            size=CONNECTION_ID_TAG_BYTES,
        )
        self.datagram_tag = _create_tagger(
            key=derive_key(
                secret=secret, purpose=b"datagram-tag", size=DERIVED_KEY_BYTES
            ),
            size=DATAGRAM_TAG_BYTES,
        )
        self.reset_token_key = derive_key(
            secret=secret, purpose=b"reset-token", size=DERIVED_KEY_BYTES
        )
        self.peer_call_key = derive_key(
            secret=secret, purpose=b"peer-call", size=DERIVED_KEY_BYTES
        )
        self.peer_call_sealing_key = derive_key(
            secret=secret, purpose=b"peer-call-seal", size=DERIVED_KEY_BYTES
        )
        block_key = derive_key(secret=secret, purpose=b"cid-aes", size=CIPHER_KEY_BYTES)
        cipher = Cipher(algorithms.AES(block_key), modes.ECB())
        # An ECB context keeps no state between whole blocks, so one context serves
        # all calls, as long as each call passes exactly one block.
        self.encrypt_block = cipher.encryptor().update
        self.decrypt_block = cipher.decryptor().update


@frozen(kw_only=True)
class KeyRing:
    """Derived keys by the number that packets carry.

    :param keys: keys by number, expired ones included.
    """

    keys: dict[int, DerivedKeys]

    @classmethod
    def from_keys(cls, keys: Iterable[Key]) -> KeyRing:
        """Derive the keys of published secrets.

        Of several records with the same number, the one that becomes valid last is
        used.
        """
        ordered = sorted(keys, key=lambda key: (key.not_before, key.id))
        return cls(keys={key.number: DerivedKeys(key) for key in ordered})

    def newest(self, *, now: float) -> DerivedKeys | None:
        """Return the key to create new packets with, or None when no key is valid.

        :param now: Unix time in seconds.
        """
        usable = [
            key for key in self.keys.values() if key.not_before <= now < key.not_after
        ]
        return max(usable, key=lambda key: key.not_before, default=None)

    def accepted(self, *, now: float) -> dict[int, DerivedKeys]:
        """Return the keys that have not expired, by number.

        A key is accepted before its ``not_before``, because the clock of the sender
        may be ahead.
        """
        return {number: key for number, key in self.keys.items() if now < key.not_after}

    def find(self, number: int, *, now: float) -> DerivedKeys | None:
        """Return the key with a number, or None when it is unknown or has expired.

        A key is accepted before its ``not_before``, because the clock of the sender
        may be ahead.
        """
        key = self.keys.get(number)
        if key is None or now >= key.not_after:
            return None
        return key
