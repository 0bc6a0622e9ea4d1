"""Load shedding: rejects requests while the relay itself is overloaded.

`signals`, `demand`, `work_costs`, `plan`, `controller` and `gate` decide and do no I/O. `meter` measures the
process and updates them; `service` connects both to the running program. docs/design/overload.md describes
the control law and the reasons for it.
"""
