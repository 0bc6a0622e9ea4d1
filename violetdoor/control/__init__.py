"""Membership of a large fleet: each relay keeps a session with the control group of its region."""
