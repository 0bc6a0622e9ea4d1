"""lynxdeck: the decisions of a balancer for long-lived connections."""

from lynxdeck.policy import Balancer

__all__ = ["Balancer"]
