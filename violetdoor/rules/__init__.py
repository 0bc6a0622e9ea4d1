"""Match rules in service: where their text comes from, the process that compiles them, the set in force."""
