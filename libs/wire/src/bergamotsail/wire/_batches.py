"""Splits sequences into batches that are bounded in number and in bytes."""

import collections.abc
import typing

Item = typing.TypeVar("Item")


def batches(
    items: collections.abc.Iterable[Item],
    size_of: collections.abc.Callable[[Item], int],
    max_items: int,
    max_bytes: int,
) -> collections.abc.Iterator[tuple[Item, ...]]:
    """Yield consecutive items in batches.

    An item of more than *max_bytes* is a batch of its own, because it can't
    be split. Items are read lazily, at most one beyond the batch.

    Example: items of 3, 3, 9 and 1 bytes, with at most 8 bytes a batch, are
    yielded as (3, 3), (9,) and (1,).

    Args:
        size_of: returns the size of an item in bytes.
    """
    batch: list[Item] = []
    batch_bytes = 0
    for item in items:
        item_bytes = size_of(item)
        is_full = len(batch) >= max_items or (
            batch_bytes + item_bytes > max_bytes
        )
        if batch and is_full:
            yield tuple(batch)
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += item_bytes
    if batch:
        yield tuple(batch)
