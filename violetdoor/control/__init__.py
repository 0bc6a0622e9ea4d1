"""Membership of a large fleet: relays hold sessions at the control group of their region."""
