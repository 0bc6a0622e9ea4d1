"""Bans of servers by operators: a banned server gets no new requests until the ban is lifted."""
