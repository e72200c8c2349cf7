"""Parts of prompts that may crash the backend servers which work on them."""

from gooseberryyoke.crash.prompt import shared_parts

__all__ = ["shared_parts"]
