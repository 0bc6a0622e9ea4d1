"""The simulator adapter: runs the decision module on the simulator's wire, `python -m violetdoor.simhost`."""
