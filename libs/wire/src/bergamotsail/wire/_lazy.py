"""Names of a package whose modules are imported when first used."""

import collections.abc
import importlib


def lazy_names(
    package: str,
    names_by_module: collections.abc.Mapping[str, tuple[str, ...]],
) -> collections.abc.Callable[[str], object]:
    """Return the ``__getattr__`` of a package.

    A program that uses one part of a library then starts without the rest,
    which counts where many come back at the same moment.

    Example::

        __getattr__ = wire.lazy_names(__name__, {"_assembly": ("Daemon",)})
    """
    module_by_name = {
        name: module
        for module, names in names_by_module.items()
        for name in names
    }

    def load(name: str) -> object:
        if name not in module_by_name:
            raise AttributeError(
                f"{package} has no {name}. Look at its __init__.py."
            )
        path = f"{package}.{module_by_name[name]}"
        return getattr(importlib.import_module(path), name)

    return load
