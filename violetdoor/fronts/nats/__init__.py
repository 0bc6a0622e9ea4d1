"""The NATS client protocol."""
