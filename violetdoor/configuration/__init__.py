"""Configuration: the forms (schemas) of all files, their validation, and the values that a relay runs with.

A relay of the platform reads environment variables and a JSON file (`platform_config`), a relay of an
operator a TOML or JSON file (`operator_config`); `sources` selects between the two. The forms map the keys
of the files to the terms of the code.
"""
