"""Find the line and column of each value in a TOML or JSON file, for the violations that a command reports.

The file has been parsed by a complete parser before. These grammars only locate values; they accept every
valid file, and don't reject every invalid one.
"""

from __future__ import annotations

import contextlib
from typing import Any, NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import LarkError

from violetdoor.configuration.validation import KeyPath

TOML_GRAMMAR = r"""
start: item*
?item: pair | "[" key "]" -> table | "[[" key "]]" -> entry
pair: key "=" value
key: simple ("." simple)*
simple: BARE | STRING
?value: LONG | STRING | OTHER | array | inline
array: "[" [value ("," value)* ","?] "]"
inline: "{" [pair ("," pair)* ","?] "}"
BARE: /[A-Za-z0-9_-]+/
LONG.2: /\"\"\"(\\(.|\n)|[^\\])*?\"{3,5}|'''(.|\n)*?'{3,5}/
STRING: /"(\\.|[^"\\\n])*"|'[^'\n]*'/
OTHER: /[0-9+\-a-zA-Z][^,\]\}\s#]*( [0-9:.+\-Z]+)?/
%import common.WS
COMMENT: /#[^\n]*/
%ignore WS
%ignore COMMENT
"""

JSON_GRAMMAR = r"""
start: value
?value: object | array | STRING | OTHER
object: "{" [pair ("," pair)*] "}"
pair: STRING ":" value
array: "[" [value ("," value)*] "]"
STRING: /"(\\.|[^"\\])*"/
OTHER: /[-+0-9.a-zA-Z]+/
%import common.WS
%ignore WS
"""


class Location(NamedTuple):
    """A position in a text file; line and column are counted from 1."""

    line: int
    column: int


FILE_START = Location(1, 1)

Locations = dict[KeyPath, Location]


def find_locations(text: str, *, is_json: bool) -> Locations:
    """Return the location of every value by its path; values that can't be located are left out."""
    found: Locations = {(): FILE_START}
    grammar = JSON_GRAMMAR if is_json else TOML_GRAMMAR
    with contextlib.suppress(LarkError, ValueError, RecursionError):  # locations found so far are correct
        parser = Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)
        tree = parser.parse(text)
        if is_json:
            _add_json_value(tree.children[0], (), found)
        else:
            _add_toml_items(tree, found)
    return found


def nearest_location(locations: Locations, path: KeyPath) -> Location:
    """Return the location of a value, or of the innermost enclosing value that has one."""
    while path not in locations and path:
        path = path[:-1]
    return locations.get(path, FILE_START)


def _location(node: Any) -> Location:
    if isinstance(node, Token):
        return Location(node.line or 1, node.column or 1)
    return Location(getattr(node.meta, "line", 1), getattr(node.meta, "column", 1))


def _add_json_value(node: Any, path: KeyPath, found: Locations) -> None:
    found.setdefault(path, _location(node))
    if not isinstance(node, Tree):
        return
    for index, child in enumerate(node.children):
        if node.data == "object":
            assert isinstance(child, Tree)
            key, value = child.children
            _add_json_value(value, (*path, _unquote(str(key))), found)
        else:
            _add_json_value(child, (*path, index), found)


def _add_toml_items(tree: Any, found: Locations) -> None:
    last_entries: dict[KeyPath, int] = {}  # index of the last `[[entry]]` of each array of tables
    table_path: KeyPath = ()
    for item in tree.children:
        if item.data == "pair":
            _add_toml_pair(item, table_path, found)
            continue
        path = _keys(item.children[0])
        if item.data == "entry":
            array_path = (*_with_entry_indices(path[:-1], last_entries), path[-1])
            found.setdefault(array_path, _location(item))
            last_entries[array_path] = last_entries.get(array_path, -1) + 1
        table_path = _with_entry_indices(path, last_entries)
        found.setdefault(table_path, _location(item))


def _with_entry_indices(path: KeyPath, last_entries: dict[KeyPath, int]) -> KeyPath:
    """Return the path with the index of the last entry inserted after each array of tables on it."""
    indexed: KeyPath = ()
    for key in path:
        indexed = (*indexed, key)
        if indexed in last_entries:
            indexed = (*indexed, last_entries[indexed])
    return indexed


def _add_toml_pair(pair: Any, table_path: KeyPath, found: Locations) -> None:
    key_node, value = pair.children
    path = table_path
    for key in _keys(key_node):
        path = (*path, key)
        found.setdefault(path, _location(key_node))
    _add_toml_value(value, path, found)


def _add_toml_value(node: Any, path: KeyPath, found: Locations) -> None:
    found[path] = _location(node)
    if not isinstance(node, Tree):
        return
    for index, child in enumerate(node.children):
        if node.data == "array":
            _add_toml_value(child, (*path, index), found)
        else:
            _add_toml_pair(child, path, found)


def _keys(node: Any) -> KeyPath:
    return tuple(_unquote(str(simple.children[0])) for simple in node.children)


def _unquote(token: str) -> str:
    return token[1:-1] if token[:1] in ("'", '"') else token
