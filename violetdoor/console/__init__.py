"""The console: HTTP calls by operators for health, metrics and maintenance."""
