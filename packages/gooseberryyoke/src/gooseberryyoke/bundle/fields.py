"""Field validators shared by several sections of a bundle."""

from gooseberryyoke.document import Name, Number, Text

__all__ = ["METHOD", "MODEL", "NAME", "PATH", "PATIENCE_S", "SHA256"]

_MIN_PATIENCE_S = 0.05
_MAX_PATIENCE_S = 86_400

NAME = Name()
MODEL = Text(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}", "the name of a model")
SHA256 = Text(r"[0-9a-f]{64}", "a SHA-256 of 64 hexadecimal digits in lower case")
METHOD = Text(r"[A-Z]{3,16}", "an HTTP method in capitals")
# Dot segments are excluded, as no accepted request has them in its canonical path.
PATH = Text(
    r"(/(?!\.\.?(/|$))[A-Za-z0-9._~!$&'()*+,=:@-]+)+",
    "a path such as /v1/services/meet-app, not encoded, without a last slash",
)
PATIENCE_S = Number(_MIN_PATIENCE_S, _MAX_PATIENCE_S)
