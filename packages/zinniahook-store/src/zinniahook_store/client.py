"""Client of the platform's key-value store (etcd v3, JSON over HTTP)."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from zinniahook_core.codes import Code, Failure

from .gateway import Gateway, GatewayError, encode_key, prefix_end
from .messages import (
    BATCH_SIZE,
    batches,
    first_conflict,
    items_of,
    parse_integer,
    put_request,
    read_request,
    responses_of,
    revision_of,
)
from .outcomes import (
    AnswerLost,
    Conflict,
    Item,
    NotWritten,
    Snapshot,
    StoreError,
    StoreRestoredError,
    WriteOutcome,
    Written,
)
from .watches import SILENCE_SECONDS, Watch

__all__ = ["Store", "TIMEOUT"]

TIMEOUT = 2.0
"""Timeout of a call, in seconds."""

PAGE_SIZE = 200
"""Values read by one range call.

Decoding a page blocks the event loop, and with it the packets. A page of rosters of
2 KB takes about 5 ms; one of 500 values would take 13 ms.
"""


class Store:
    """Client of the store that holds all persistent state.

    Reads raise `StoreError`. Writes return `Written`, `Conflict`, `NotWritten`
    (certain) or `AnswerLost` (unknown; see `settle`). Only `swap` repeats a write.

    Parameters
    ----------
    addresses : sequence of Address or str
        Endpoints, each ``host:port``. If a call fails, the next one is tried.
    timeout : float
        Seconds that a call waits for one endpoint.
    rng : random.Random, optional
        Source of the jitter.

    Attributes
    ----------
    calls_by_kind, failures_by_kind : Counter
        Calls made and calls that failed, by kind. An open watch is one call.
    history : int
        Number of times that the store's revision has gone back. Revisions of
        different histories can't be compared.
    """

    def __init__(
        self,
        addresses: Sequence[object],
        timeout: float = TIMEOUT,
        rng: random.Random | None = None,
    ) -> None:
        self._gateway = Gateway(addresses, timeout, rng or random.Random())
        self.calls_by_kind = self._gateway.calls_by_kind
        self.failures_by_kind = self._gateway.failures_by_kind
        self.history = 0
        self._latest_revision = 0

    # Reads

    async def get(self, key: str) -> Item | None:
        """Return the item stored under a key, or None.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        answer = await self._read({"key": encode_key(key)})
        return next(items_of(answer), None)

    async def get_many(self, keys: Iterable[str]) -> dict[str, Item]:
        """Return the items stored under the keys, read in batches.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        found: dict[str, Item] = {}
        names = list(dict.fromkeys(keys))
        for start in range(0, len(names), BATCH_SIZE):
            reads = [read_request(key) for key in names[start : start + BATCH_SIZE]]
            body = {"success": reads}
            answer = await self._call_to_read("range", "/v3/kv/txn", body)
            for response in responses_of(answer, len(reads)):
                found.update((item.key, item) for item in items_of(response))
        return found

    async def range(self, prefix: str) -> list[Item]:
        """Return all items under a prefix, sorted by key.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        snapshot = await self.snapshot(prefix)
        return list(snapshot.items_by_key.values())

    async def snapshot(self, prefix: str, after: int = 0) -> Snapshot:
        """Return the items under a prefix as of one revision.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : int
            Only items written after this revision are returned.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        items: dict[str, Item] = {}
        body: dict[str, Any] = {
            "range_end": encode_key(prefix_end(prefix)),
            "limit": PAGE_SIZE,
        }
        if after:
            body["min_mod_revision"] = str(after + 1)
        key = prefix
        count = None
        while True:
            answer = await self._read({**body, "key": encode_key(key)})
            if count is None:
                count = parse_integer({"count": 0, **answer}, "count")
            # All pages are read at the revision of the first. Otherwise they could
            # show a state that never existed.
            body.setdefault("revision", revision_of(answer))
            for item in items_of(answer):
                items[item.key] = item
                key = item.key + "\0"
            if not answer.get("more"):
                return Snapshot(int(body["revision"]), items, count)

    async def newest(self, prefix: str) -> tuple[int, int]:
        """Return the latest revision under a prefix and the number of keys.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        answer = await self._read(
            {
                "key": encode_key(prefix),
                "range_end": encode_key(prefix_end(prefix)),
                "limit": 1,
                "keys_only": True,
                "sort_order": "DESCEND",
                "sort_target": "MOD",
            }
        )
        revision = max((item.revision for item in items_of(answer)), default=0)
        return revision, parse_integer({"count": 0, **answer}, "count")

    # Writes

    async def put(self, key: str, value: bytes, lease: int = 0) -> WriteOutcome:
        """Store a value unconditionally."""
        return await self._write("put", "/v3/kv/put", put_request(key, value, lease))

    async def put_many(self, values_by_key: Mapping[str, bytes]) -> WriteOutcome:
        """Store values in batches, each of them atomic.

        Intended for values that nothing refers to yet. Stops at the first batch that
        isn't written.
        """
        outcome: WriteOutcome = Written(0)
        for batch in batches(values_by_key):
            outcome = await self.transact({}, batch)
            if not isinstance(outcome, Written):
                break
        return outcome

    async def delete(self, key: str) -> WriteOutcome:
        """Delete a key if it exists."""
        body = {"key": encode_key(key)}
        return await self._write("delete", "/v3/kv/deleterange", body)

    async def compare_and_swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> WriteOutcome:
        """Store a value if the key still has the given revision.

        Revision 0 means that the key doesn't exist.
        """
        return await self.transact({key: revision}, {key: value}, lease=lease)

    async def transact(
        self,
        revisions_by_key: Mapping[str, int],
        values_by_key: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease: int = 0,
    ) -> WriteOutcome:
        """Apply all writes atomically if all keys have the expected revisions.

        Parameters
        ----------
        revisions_by_key : Mapping[str, int]
            Expected revision of each key; 0 if it must not exist.
        values_by_key : Mapping[str, bytes]
            Values to store.
        deletes : iterable of str
            Keys to delete.
        lease : int
            Lease that the values are attached to; 0 for none.
        """
        writes = [
            {"request_put": put_request(key, value, lease)}
            for key, value in values_by_key.items()
        ]
        writes += [
            {"request_delete_range": {"key": encode_key(key)}} for key in deletes
        ]
        body = {
            "compare": [
                {
                    "key": encode_key(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
                for key, revision in revisions_by_key.items()
            ],
            "success": writes,
            "failure": [read_request(key) for key in revisions_by_key],
        }
        return await self._write("txn", "/v3/kv/txn", body, revisions_by_key)

    async def settle(
        self, key: str, revision: int, contains: Callable[[bytes], bool]
    ) -> WriteOutcome:
        """Determine the outcome of a compare-and-swap whose answer was lost.

        Parameters
        ----------
        key : str
            Key of the write.
        revision : int
            Revision that the write expected.
        contains : callable
            Returns whether a stored value contains the write's operation id. Later
            writes must keep the ids of earlier ones.

        Returns
        -------
        WriteOutcome
            `Written` or `Conflict`, which are certain. `AnswerLost` if the store
            doesn't answer or the key still has the expected revision. In that case
            the write may still take effect; only repeating it gives certainty.
        """
        try:
            item = await self.get(key)
        except StoreError as error:
            return AnswerLost(error.failure)
        if item is not None and contains(item.value):
            return Written(item.revision)
        if (item.revision if item else 0) != revision:
            return Conflict(item)
        reason = f"{key}: not written yet, the write may still be in transit"
        return AnswerLost(Failure(Code.STORE_ANSWER_LOST, reason))

    async def swap(
        self,
        key: str,
        revision: int,
        value: bytes,
        contains: Callable[[bytes], bool],
        attempts: int = 3,
    ) -> WriteOutcome:
        """Compare and swap; repeat the write while its answer is lost.

        Repeating is safe. Once one of the copies has taken effect, the key never has
        the expected revision again.
        """
        lost: AnswerLost | None = None
        for _ in range(attempts):
            outcome = await self.compare_and_swap(key, revision, value)
            if isinstance(outcome, Conflict) and lost and outcome.current:
                current = outcome.current
                return Written(current.revision) if contains(current.value) else outcome
            if isinstance(outcome, AnswerLost):
                lost = outcome
            elif not isinstance(outcome, NotWritten) or lost is None:
                return outcome
        return lost or outcome

    # Leases

    async def grant(self, seconds: int) -> int:
        """Create a lease and return its id.

        Raises
        ------
        StoreError
            If the store doesn't answer.
        """
        body = {"TTL": str(seconds)}
        answer = await self._call_to_read("lease", "/v3/lease/grant", body)
        return parse_integer(answer, "ID")

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease; return its remaining seconds, or 0 if it has expired.

        Raises
        ------
        StoreError
            If the store doesn't answer. The lease may have been renewed.
        """
        body = {"ID": str(lease)}
        answer = await self._call_to_read("lease", "/v3/lease/keepalive", body)
        result = answer.get("result")
        # A TTL of 0 is omitted from the answer. The id distinguishes such an answer
        # from a malformed one.
        parse_integer(result, "ID")
        return parse_integer({"TTL": 0, **result}, "TTL")

    async def revoke(self, lease: int) -> WriteOutcome:
        """Revoke a lease, which deletes the keys attached to it."""
        return await self._write("lease", "/v3/lease/revoke", {"ID": str(lease)})

    # Watches

    def watch(
        self, prefix: str, revision: int = 0, *, silence: float = SILENCE_SECONDS
    ) -> Watch:
        """Return an async iterator over the changes under a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        revision : int
            Changes after this revision are reported. With 0, all stored items are
            reported first.
        silence : float
            Seconds without a message after which a read checks the watch.
        """
        return Watch(self, self._gateway, prefix, revision, silence)

    def close(self) -> None:
        """Close the HTTP client."""
        self._gateway.close()

    # Calls

    def observe(self, revision: int) -> None:
        """Record a revision received by a watch."""
        self._latest_revision = max(self._latest_revision, revision)

    async def _read(self, body: dict[str, Any]) -> dict[str, Any]:
        return await self._call_to_read("range", "/v3/kv/range", body)

    async def _call_to_read(
        self, kind: str, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        revision_before, history_before = self._latest_revision, self.history
        try:
            answer = await self._gateway.call(kind, path, body, repeat=True)
        except GatewayError as error:
            raise StoreError(str(error)) from error
        if kind == "range":
            # An answer without a revision isn't from the store. If it were accepted,
            # it would mean that nothing is stored.
            self._check(revision_of(answer), revision_before, history_before)
        return answer

    def _check(self, revision: int, revision_before: int, history_before: int) -> None:
        """Reject an answer of another history than that of its request.

        Reads are linearizable. A revision below ``revision_before``, the latest one
        known before the request, therefore means that the store was restored.
        Without this check, values of an obsolete history are considered newer than
        the stored ones.
        """
        if history_before != self.history:
            raise StoreRestoredError("the store was restored during the call")
        if revision >= revision_before:
            self.observe(revision)
            return
        self.history += 1
        self._latest_revision = revision
        self.failures_by_kind["restored"] += 1
        raise StoreRestoredError(
            f"the store's revision fell from {revision_before} to {revision}"
        )

    async def _write(
        self,
        kind: str,
        path: str,
        body: dict[str, Any],
        revisions_by_key: Mapping[str, int] | None = None,
    ) -> WriteOutcome:
        revision_before, history_before = self._latest_revision, self.history
        try:
            answer = await self._gateway.call(kind, path, body, repeat=False)
        except GatewayError as error:
            if error.sent:
                return AnswerLost(Failure(Code.STORE_ANSWER_LOST, str(error)))
            return NotWritten(Failure(Code.STORE_DOWN, str(error)))
        try:
            # The revision is checked first. Otherwise an empty answer that isn't from
            # the store would be a conflict, which is certain.
            revision = revision_of(answer)
            self._check(revision, revision_before, history_before)
            if revisions_by_key is not None and not answer.get("succeeded"):
                return Conflict(first_conflict(answer, revisions_by_key))
            return Written(revision)
        except StoreRestoredError as error:
            # A restored store reuses revisions, so the condition may have held and
            # the write may have taken effect.
            return AnswerLost(error.failure)
        except StoreError as error:
            return AnswerLost(Failure(Code.STORE_ANSWER_LOST, str(error)))
