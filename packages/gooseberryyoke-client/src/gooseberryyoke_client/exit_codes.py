"""Exit codes of the client, listed in its help."""

from enum import IntEnum

__all__ = ["EXIT_CODE_HELP", "ExitCode"]


class ExitCode(IntEnum):
    """What a script may rely on."""

    DONE = 0
    MISTAKES = 1
    USAGE = 2
    NO_ENTRY = 3
    CONFLICT = 4
    OLDER = 5
    SIGNATURES = 6
    NO_MAJORITY = 7
    REFUSED = 8


_MEANING = {
    ExitCode.DONE: "done; for roll: accepted, and no holder serves by an older bundle",
    ExitCode.MISTAKES: "a document has mistakes, or a file can't be used",
    ExitCode.USAGE: "wrong use of the command line",
    ExitCode.NO_ENTRY: "no entry or control process answered; for roll: run it again",
    ExitCode.CONFLICT: "another bundle was accepted under the same version",
    ExitCode.OLDER: "a newer version is in force",
    ExitCode.SIGNATURES: "not enough right signatures",
    ExitCode.NO_MAJORITY: "too few replicas answered, or another order came first; "
    "for roll: run it again",
    ExitCode.REFUSED: "refused for another reason",
}

# The mark keeps click from joining the lines of the list.
EXIT_CODE_HELP = "\b\nExit codes:\n" + "\n".join(
    f"  {code.value}  {meaning}" for code, meaning in _MEANING.items()
)
