"""One log line for each routing or placement decision."""

import dataclasses

from absl import logging


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A decision, its subject and its reason.

    Args:
        part: component, the prefix of the line, such as ``route``.
        what: the action, a verb.
        reason: the reason, in a few words.
    """

    part: str
    what: str
    reason: str
    request: str = "-"
    adapter: str = "-"
    target: str = "-"


def log_decision(decision: Decision) -> None:
    """Log a decision as one line.

    Example: ``route: Send. request=r1 adapter=quotes@v3 target=runner-2
    reason=resident``
    """
    logging.info(
        "%s: %s. request=%s adapter=%s target=%s reason=%s",
        decision.part,
        decision.what,
        decision.request,
        decision.adapter,
        decision.target,
        decision.reason,
    )
