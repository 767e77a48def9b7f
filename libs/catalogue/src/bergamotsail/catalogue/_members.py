"""Members, their tokens and their limits."""

import collections.abc
import dataclasses
import enum
import hashlib
import math
import re

TOKEN_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")


class BudgetUnit(enum.StrEnum):
    """What a budget counts."""

    TOKENS = "tokens"
    REQUESTS = "requests"


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """A limit on the rate of requests, with a burst, for all daemons.

    Example: ``Budget(4000, 8000).cost(2400)`` is 2400, and
    ``Budget(20, 40, BudgetUnit.REQUESTS).cost(2400)`` is 1.

    Args:
        per_s: units that become available per second.
        burst: units that may be spent at once after an idle period.
        plain_tokens: the cost, in tokens, of a request without a prompt.
    """

    per_s: float
    burst: float = 0.0
    unit: BudgetUnit = BudgetUnit.TOKENS
    plain_tokens: int = 0

    def cost(self, tokens: int | None) -> int:
        """Return the units that a request costs.

        Args:
            tokens: tokens of its prompt and at most generated ones; None
                for a request without a prompt.
        """
        if self.unit is BudgetUnit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits enforced across all daemons together.

    Args:
        concurrency: maximum number of concurrent requests, or None for no
            limit.
        rate: maximum number of requests admitted per second, or None for no
            limit.
        slot_share: maximum share of an engine's adapter slots, 0 to 1, that
            may be occupied while another member waits for one, or None for
            a share by member weight.
        budget: limit on the rate of requests by their size, or None for no
            limit; for members only.
    """

    concurrency: int | None = None
    rate: float | None = None
    slot_share: float | None = None
    budget: Budget | None = None


NO_LIMITS = Limits()


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A customer's team, which owns adapters and services and calls them.

    A member may hold several tokens, so that a token can be replaced without
    refusing a caller. A member without tokens can't call.

    Args:
        token_sha256: SHA-256 of a token its callers send, in hex.
        weight: its weight in fair sharing among members.
        retry_budget: retries allowed per first attempt, 0 to 1.
        tokens_sha256: further tokens, in the same form.
        priority: replaces the priority of a route, 0 is the most urgent;
            None to keep the route's.
    """

    token_sha256: str | None = None
    limits: Limits = NO_LIMITS
    weight: float = 1.0
    retry_budget: float = 0.1
    tokens_sha256: tuple[str, ...] = ()
    priority: int | None = None

    @property
    def token_hashes(self) -> tuple[str, ...]:
        """The hashes of all tokens that the member holds."""
        if self.token_sha256 is None:
            return self.tokens_sha256
        return (self.token_sha256, *self.tokens_sha256)


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hex, the form that is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def find_holder(
    member_by_token: collections.abc.Mapping[str, str], token: str
) -> str | None:
    """Return the member that holds a token, if any.

    Args:
        member_by_token: names of members by the hash of a token.
    """
    # A lookup by the hash does not reveal a token by its timing.
    return member_by_token.get(hash_token(token))


def member_problems(member: Member) -> collections.abc.Iterator[str]:
    """Yield what is wrong with a member."""
    hashes = member.token_hashes
    if not all(TOKEN_HASH_PATTERN.fullmatch(token) for token in hashes):
        yield "token_sha256 and tokens_sha256 must be 64 lowercase hex digits."
    if len(set(hashes)) < len(hashes):
        yield "tokens_sha256 must not contain a token twice."
    if not member.weight > 0:
        yield "weight must be greater than 0."
    if not 0 <= member.retry_budget <= 1:
        yield "retry_budget must be from 0 to 1."
    if member.priority is not None and member.priority < 0:
        yield "priority must be 0 or more, or null."


def limit_problems(limits: Limits) -> collections.abc.Iterator[str]:
    """Yield what is wrong with limits."""
    if limits.concurrency is not None and limits.concurrency < 1:
        yield "concurrency must be 1 or more, or null."
    if limits.rate is not None and not limits.rate > 0:
        yield "rate must be greater than 0, or null."
    if limits.slot_share is not None and not 0 < limits.slot_share <= 1:
        yield "slot_share must be greater than 0 and at most 1, or null."
    budget = limits.budget
    if budget is None:
        return
    if not (budget.per_s > 0 and math.isfinite(budget.per_s)):
        yield "budget.per_s must be greater than 0."
    if not (budget.burst >= 0 and math.isfinite(budget.burst)):
        yield "budget.burst must be 0 or more."
    if budget.plain_tokens < 0:
        yield "budget.plain_tokens must be 0 or more."
