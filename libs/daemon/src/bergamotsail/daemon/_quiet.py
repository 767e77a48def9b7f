"""Web applications whose requests are logged as decisions only."""

from tornado import web


def application_without_access_log(routes: list[tuple]) -> web.Application:
    """Return an application without tornado's line for each request."""
    return web.Application(routes, log_function=_log_nothing)


def _log_nothing(_: web.RequestHandler) -> None:
    """Leave out tornado's line per request; decisions are logged."""
