"""Single-server changes of the configuration.

Each function returns the new configuration.
"""

from bergamotsail.quorum import _messages

Config = _messages.Config
Member = _messages.Member


def with_learner(config: Config, member: Member) -> Config:
    """Add a learner, replacing a learner of the same name.

    The configuration stays as it is when the replica is already in it.
    """
    if any(m.id == member.id for m in config.members):
        return config
    learners = tuple(m for m in config.learners if m.name != member.name)
    return Config(config.voters, learners + (member,))


def without_voter(config: Config, member: Member) -> Config:
    """Remove a voter."""
    voters = tuple(m for m in config.voters if m.id != member.id)
    return Config(voters, config.learners)


def with_voter(config: Config, member: Member) -> Config:
    """Promote a learner to voter, replacing a voter of the same name."""
    if config.has_voter(member.id):
        return config
    learners = tuple(m for m in config.learners if m.id != member.id)
    voters = tuple(m for m in config.voters if m.name != member.name)
    return Config(voters + (member,), learners)
