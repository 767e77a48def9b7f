"""Properties of tokens and of the members of a route table."""

import collections
import collections.abc

import hypothesis
from hypothesis import strategies

from bergamotsail import catalogue
from bergamotsail import wire

EXAMPLES = 300
NAMES = strategies.sampled_from(("ma", "mb", "mc", ""))
TOKENS = strategies.sampled_from(("t1", "t2", "t3", "t4"))
MEMBERS = strategies.lists(
    strategies.tuples(NAMES, strategies.lists(TOKENS, max_size=3)), max_size=4
)
HEADERS = strategies.one_of(
    strategies.text(max_size=40),
    strategies.from_regex(r"(?i)bearer +[!-~]+", fullmatch=True),
    strategies.binary(max_size=40).map(lambda data: data.decode("latin-1")),
)
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)

Table = list[tuple[str, list[str]]]


def _route_members(
    table: Table,
) -> collections.abc.Iterator[catalogue.RouteMember]:
    for name, tokens in table:
        hashes = tuple(catalogue.hash_token(token) for token in tokens)
        member = catalogue.Member(tokens_sha256=hashes)
        yield catalogue.RouteMember(name, member)


def _is_valid(table: Table) -> bool:
    names = collections.Counter(name for name, _ in table)
    tokens = collections.Counter(t for _, held in table for t in held)
    counts = [*names.values(), *tokens.values()]
    return "" not in names and max(counts, default=1) == 1


@SETTINGS
@hypothesis.given(MEMBERS)
def table_is_checked(table: Table) -> None:
    """A table is valid unless a name or token occurs twice or is empty.

    In a valid table each token finds its only holder, and no other.
    """
    members = tuple(_route_members(table))
    routes = catalogue.RouteTable(1, members=members)
    try:
        catalogue.check_table(routes)
        accepted = True
    except wire.BadRequestError:
        accepted = False
    assert accepted == _is_valid(table), table
    if not accepted:
        return
    holder_by_token = {t: name for name, held in table for t in held}
    index = catalogue.RouteIndex(routes)
    for token in ("t1", "t2", "t3", "t4", "unknown"):
        found = catalogue.find_holder(index.member_by_token, token)
        assert found == holder_by_token.get(token), (table, token)


@SETTINGS
@hypothesis.given(strategies.lists(HEADERS, max_size=3))
def header_is_parsed(values: list[str]) -> None:
    """Any header gives a token without spaces, or none; none raises."""
    token = wire.parse_bearer(values)
    if token is None:
        return
    assert len(values) == 1
    assert token.isascii() and token.isprintable() and " " not in token
    scheme, _, rest = values[0].strip().partition(" ")
    assert scheme.lower() == "bearer" and rest.strip() == token
    assert catalogue.find_holder({}, token) is None


PROPERTY_BY_NAME = {
    "table_is_checked": table_is_checked,
    "header_is_parsed": header_is_parsed,
}
