"""A relay that places long-lived connections: one core of decisions, one front for each protocol."""
