"""Match rules at run time: their source text, the process that compiles them, and the active set.

`source` is the input of the compilation, `worker` the program that compiles it, `compiler` starts that
program and `set_files` reads files for it. `active_rules` decides on requests; `service` connects it to the
running program.
"""
