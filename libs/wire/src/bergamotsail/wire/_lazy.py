"""Lazy import of the public names of a package (PEP 562)."""

import collections.abc
import importlib


def lazy_names(
    package: str,
    names_by_module: collections.abc.Mapping[str, tuple[str, ...]],
) -> collections.abc.Callable[[str], object]:
    """Return a module ``__getattr__`` that imports names on first access.

    A program that uses one part of a library then doesn't import the rest.
    The shorter start matters when many processes restart at the same time.

    Args:
        package: name of the package.
        names_by_module: the public names of each module of the package.

    Example::

        __getattr__ = wire.lazy_names(__name__, {"_assembly": ("Daemon",)})
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def import_name(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}; "
                "its public names are listed in its __init__.py"
            )
        path = f"{package}.{module_by_name[name]}"
        return getattr(importlib.import_module(path), name)

    return import_name
