"""Steps for tokens and members."""

import behave

from features.support import members


@behave.then("the property {name} holds")
def property_holds(context, name: str) -> None:
    members.PROPERTY_BY_NAME[name]()
