"""Key rotation: new keys are accepted everywhere, then used, and later dropped."""

from __future__ import annotations

import secrets
import time

from zinniahook_core.codes import Code, ZinniahookError
from zinniahook_core.configuration import KeyRing
from zinniahook_core.models import Key
from zinniahook_store import configurations
from zinniahook_store.configurations import SECRET_BYTES, Committed, Stored

from .answers import Answer, Status
from .contexts import Context
from .results import outcome_answer
from .statements import Rotate
from .waits import wait_until_in_force

__all__ = [
    "KEYS_KEPT",
    "OLD_KEY_AGE_SECONDS",
    "outcome_is_final",
    "rotate",
    "with_new_keys",
    "with_newest_keys_in_use",
    "without_old_keys",
]

KEYS_KEPT = 4
"""Number of accepted keys of each kind, including the one in use."""

OLD_KEY_AGE_SECONDS = 24 * 3600.0
"""Seconds for which a key stays accepted after new flows stop using it.

Flows last for hours. Dropping their key earlier breaks them, which shows as
drops under CONNECTION_ID_UNKNOWN at every entry at once.
"""

KEY_ID_COUNT = 256
"""Number of key ids, which are one byte in front of each connection id."""

MAX_COMMIT_ATTEMPTS = 5
"""Attempts to commit while other operators commit changes concurrently."""


async def rotate(context: Context, statement: Rotate) -> Answer:
    """Bring new keys into use, or resume an interrupted rotation."""
    stored = await configurations.read(context.store)
    if stored.keys is None:
        raise ZinniahookError("there is no configuration yet", Code.GENERATION_UNKNOWN)
    _check_permitted(context, stored)
    if _unused_key(stored.keys) is None:
        await _check_age(context, stored, statement.force)
        answer = await _commit_keys(context, with_new_keys)
        if answer.status is not Status.OK:
            return answer
        context.on_progress(f"new keys accepted: {answer.text}")
    stored = await configurations.read(context.store)
    accepted = await wait_until_in_force(context, stored.generation)
    if accepted.status is not Status.OK and not statement.force:
        # If the key were used now, lagging daemons couldn't decrypt its datagrams
        # and their flows would break.
        return Answer(
            f"{accepted.text}\nnew keys aren't used yet; `rotate keys` continues",
            data=accepted.data,
            status=Status.UNFINISHED,
        )
    answer = await _commit_keys(context, with_newest_keys_in_use)
    if answer.status is not Status.OK:
        return answer
    now = await configurations.read(context.store)
    everywhere = await wait_until_in_force(context, now.generation)
    return Answer(
        f"new keys in use: {answer.text}\n{everywhere.text}",
        data={**(answer.data or {}), **(everywhere.data or {})},
        status=everywhere.status,
    )


def with_new_keys(ring: KeyRing) -> KeyRing:
    """Add an unused key of each kind, and drop the oldest keys."""
    number = _next_id(ring)
    return without_old_keys(
        ring._replace(
            flow_keys_by_number={
                **ring.flow_keys_by_number,
                number: _generate_key(number),
            },
            tunnel_keys_by_number={
                **ring.tunnel_keys_by_number,
                number: _generate_key(number),
            },
        )
    )


def with_newest_keys_in_use(ring: KeyRing) -> KeyRing:
    """Put the newest keys into use if they are still unused."""
    number = _unused_key(ring)
    if number is None:
        return ring
    return ring._replace(flow_key=number, tunnel_key=number)


def without_old_keys(ring: KeyRing) -> KeyRing:
    """Keep only the newest keys, in the order in which they were added."""
    numbers = _ids_by_age(ring)[-KEYS_KEPT:]
    return ring._replace(
        flow_keys_by_number={
            number: ring.flow_keys_by_number[number] for number in numbers
        },
        tunnel_keys_by_number={
            number: ring.tunnel_keys_by_number[number] for number in numbers
        },
    )


def _generate_key(number: int) -> Key:
    return Key(number, secrets.token_bytes(SECRET_BYTES))


def _next_id(ring: KeyRing) -> int:
    return (_ids_by_age(ring)[-1] + 1) % KEY_ID_COUNT


def _ids_by_age(ring: KeyRing) -> list[int]:
    """Return the key ids from the oldest to the newest.

    Ids wrap around. The ring holds few of them, so the oldest key is the one after
    the widest gap.
    """
    numbers = sorted(ring.flow_keys_by_number)
    gaps = [
        (number - numbers[position - 1]) % KEY_ID_COUNT or KEY_ID_COUNT
        for position, number in enumerate(numbers)
    ]
    first = gaps.index(max(gaps))
    return numbers[first:] + numbers[:first]


def _unused_key(ring: KeyRing) -> int | None:
    newest = _ids_by_age(ring)[-1]
    return None if newest == ring.flow_key else newest


def _check_permitted(context: Context, stored: Stored) -> None:
    operators = stored.document.operators_by_name
    operator = operators.get(context.operator)
    if operators and not (operator and operator.keys):
        reason = f"{context.operator} may not rotate keys"
        raise ZinniahookError(reason, Code.NOT_PERMITTED)


async def _check_age(context: Context, stored: Stored, force: bool) -> None:
    """Raise an error if adding a key would drop one that live flows may use."""
    ring = stored.keys
    if force or len(ring.flow_keys_by_number) < KEYS_KEPT:
        return
    oldest_used_until = await _used_until(context, _ids_by_age(ring)[0])
    age = time.time() - oldest_used_until
    if age < OLD_KEY_AGE_SECONDS:
        raise ZinniahookError(
            f"the oldest key was in use {age / 3600:.1f} h ago and flows may still "
            f"use it; wait until {OLD_KEY_AGE_SECONDS / 3600:.0f} h, or force",
            Code.NOT_PERMITTED,
        )


async def _used_until(context: Context, number: int) -> float:
    """Return the time at which a key went out of use, 0 if the history lacks it."""
    used = [0.0]
    rings: dict[str, KeyRing] = {}
    later = time.time()
    for manifest in await configurations.history(context.store):
        if manifest.keys not in rings:
            stored = await configurations.read(context.store, manifest.generation)
            rings[manifest.keys] = stored.keys
        if rings[manifest.keys].flow_key == number:
            used.append(later)
        later = manifest.time
    return max(used)


async def _commit_keys(context: Context, update) -> Answer:
    """Commit the updated key ring, and retry if another commit came first."""
    for _ in range(MAX_COMMIT_ATTEMPTS):
        stored = await configurations.read(context.store)
        operation = configurations.new_operation()
        outcome = await configurations.commit(
            context.store,
            stored,
            stored.document,
            context.operator,
            operation,
            keys=update(stored.keys),
        )
        if isinstance(outcome, Committed) or outcome_is_final(outcome):
            break
    return await outcome_answer(context, stored, outcome, wait=False)


def outcome_is_final(outcome: configurations.Outcome) -> bool:
    """Return whether another attempt would be wrong or useless."""
    return getattr(outcome, "code", None) is not Code.CONFLICT
