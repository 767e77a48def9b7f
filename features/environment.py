"""Hooks of behave: silence logs and clean up after each scenario."""

import contextlib

from absl import logging


def before_all(context) -> None:
    """Suppress log lines of the code under test."""
    logging.set_verbosity(logging.FATAL)


def before_scenario(context, scenario) -> None:
    """Give each scenario an exit stack for its cleanups."""
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario) -> None:
    """Run the cleanups of the scenario."""
    context.stack.close()
