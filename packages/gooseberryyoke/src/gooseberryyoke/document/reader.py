"""Parsing and validation of YAML documents."""

from returns.result import Failure, Success
from yaml import MappingNode, SequenceNode, compose
from yaml.error import MarkedYAMLError
from yaml.reader import ReaderError

from gooseberryyoke.document.field import INVALID
from gooseberryyoke.document.report import Report

# The base loaders don't resolve types. Fields parse the text of scalars themselves, and
# resolving each scalar to a YAML 1.1 type takes longer than the entire validation.
try:
    from yaml import CBaseLoader as BaseLoader
except ImportError:
    from yaml import BaseLoader

__all__ = ["MAX_CHARACTERS", "check_document"]

MAX_CHARACTERS = 16 * 1024 * 1024
_DEFAULT_TAGS = frozenset(f"tag:yaml.org,2002:{name}" for name in ("map", "seq", "str"))


def check_document(text, field, *cross_checks):
    """
    Validate a YAML document as a whole.

    Parameters
    ----------
    text : str
        YAML document.
    field : Field
        Validator of the root, usually a `Section`.
    *cross_checks : callable
        Validators that involve several parts of the document. Each is called with the
        value and the `Report`, and only if all values are valid; a duplicate key is
        reported but doesn't prevent the call.

    Returns
    -------
    returns.result.Result
        ``Success`` of the value, or ``Failure`` of a list of all `Mistake` found.

    Examples
    --------
    >>> from gooseberryyoke.document import Integer, Key, Section
    >>> section = Section(dict, Key("port", Integer(1, 65535)))
    >>> check_document("port: 80", section).unwrap()
    {'port': 80}
    >>> for mistake in check_document("prot: 80", section).failure():
    ...     print(mistake)
    prot: line 1: unknown key; did you mean port? expected one of port
    port: line 1: is missing, expected a whole number from 1 to 65535
    """
    report = Report()
    root = _compose(text, report)
    if report.mistakes:
        return Failure(report.mistakes)
    value = field.check(root, "", report)
    if value is not INVALID:
        for cross_check in cross_checks:
            cross_check(value, report)
    if report.mistakes:
        return Failure(report.sorted_mistakes())
    return Success(value)


def _compose(text, report):
    if len(text) > MAX_CHARACTERS:
        message = f"found {len(text)} characters, expected at most {MAX_CHARACTERS}"
        report.add("", message, 1)
        return None
    try:
        root = compose(text, Loader=BaseLoader)
    except MarkedYAMLError as exc:
        _add_syntax_mistake(exc, report)
        return None
    except ReaderError as exc:
        # libyaml's reader reports the code point, the Python reader the character.
        found = exc.character
        _add_character_mistake(
            chr(found) if isinstance(found, int) else found, text, report
        )
        return None
    except UnicodeEncodeError as exc:
        _add_character_mistake(text[exc.start], text, report)
        return None
    if root is None:
        report.add("", "found nothing, expected a YAML document", 1)
        return None
    report.root = root
    _refuse_aliases_and_tags(root, report)
    return root


def _add_syntax_mistake(exc, report):
    mark = exc.problem_mark or exc.context_mark
    line = mark.line + 1 if mark else 1
    report.add("", f"{exc.problem or exc.context}, expected valid YAML", line)


def _add_character_mistake(character, text, report):
    line = text.count("\n", 0, text.index(character)) + 1
    message = f"found the character U+{ord(character):04X}, expected printable text"
    report.add("", message, line)


def _refuse_aliases_and_tags(root, report):
    # An alias makes one node appear in several places. An alias inside its own anchor
    # would cause an endless loop in the validation, and nested aliases expand a small
    # text without bound. Without aliases, the document is no larger than its text.
    seen = set()
    pending = [root]
    while pending:
        node = pending.pop()
        if id(node) in seen:
            _add_node_mistake(node, "an alias, expected the value written out", report)
            return
        if node.tag not in _DEFAULT_TAGS:
            _add_node_mistake(node, f"the tag {node.tag}, expected none", report)
        seen.add(id(node))
        pending.extend(_children(node))


def _add_node_mistake(node, found, report):
    report.add("", f"found {found}", node.start_mark.line + 1)


def _children(node):
    if isinstance(node, MappingNode):
        return [child for pair in node.value for child in pair]
    if isinstance(node, SequenceNode):
        return node.value
    return []
