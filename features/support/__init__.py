"""Small fakes at the interfaces, and an oracle to check against."""
