"""Client accounts by their keys, of which only digests are kept."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fighinge.router.model import ClientAccount

KEY_DIGEST_BYTES = 16


def key_digest(key: str) -> bytes:
    """Return the digest by which the key of a client account is recognised."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


class AccountIndex:
    """Finds client accounts by a key or by their name, in constant time."""

    __slots__ = ("_by_key_digest", "_by_name")

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_key_digest: dict[bytes, ClientAccount] = {}
        self._by_name: dict[str, ClientAccount] = {}
        for account in accounts:
            self._by_name[account.name] = account
            for digest in account.key_digests:
                self._by_key_digest[digest] = account

    @classmethod
    def from_accounts(cls, accounts: Iterable[ClientAccount] | None) -> AccountIndex:
        """Return an index of accounts, which is empty if they are unknown."""
        return cls(accounts or ())

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, credential: str) -> ClientAccount | None:
        """Return the account that holds a key."""
        return self._by_key_digest.get(key_digest(credential)) if credential else None

    def find_by_name(self, name: str) -> ClientAccount | None:
        """Return the account with a name."""
        return self._by_name.get(name)
