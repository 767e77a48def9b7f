"""Changes of the configuration, by one member at a time."""

from bergamotsail.quorum import _messages

Config = _messages.Config
Member = _messages.Member


def with_learner(config: Config, member: Member) -> Config:
    """Add a learner, in the place of an earlier one of its name."""
    if any(m.id == member.id for m in config.members):
        return config
    learners = tuple(m for m in config.learners if m.name != member.name)
    return Config(config.voters, learners + (member,))


def without_voter(config: Config, member: Member) -> Config:
    """Let a voter go."""
    voters = tuple(m for m in config.voters if m.id != member.id)
    return Config(voters, config.learners)


def with_voter(config: Config, member: Member) -> Config:
    """Make a learner a voter, in the place of its old self if it has one."""
    if config.has_voter(member.id):
        return config
    learners = tuple(m for m in config.learners if m.id != member.id)
    voters = tuple(m for m in config.voters if m.name != member.name)
    return Config(voters + (member,), learners)
