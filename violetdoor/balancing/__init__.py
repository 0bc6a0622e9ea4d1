"""The decision module of one relay: which requests it admits and on which servers it places them.

`events`, `actions` and `settings` form the interface, and `balancer` dispatches events. `model` and `context`
hold the state that the other modules share; each of those covers one concern. Nothing in this package does
input or output or reads a clock: the caller passes the current time.
"""

from violetdoor.balancing.balancer import Balancer

__all__ = ["Balancer"]
