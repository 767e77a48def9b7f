"""Hooks of behave: quiet logs, and everything started is ended."""

import contextlib

from absl import logging


def before_all(context) -> None:
    """Keep the product's log lines out of the report."""
    logging.set_verbosity(logging.FATAL)


def before_scenario(context, scenario) -> None:
    """Give each scenario a stack to put what must be ended."""
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario) -> None:
    """End what the scenario started."""
    context.stack.close()
