"""Following the rosters of other regions, and telling relays how many live there."""
