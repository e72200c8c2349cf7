"""The bundle: the complete operator configuration under one version."""

import json
from hashlib import sha256

from gooseberryyoke.bundle.account import key_hash
from gooseberryyoke.bundle.patience import Patience, local_minute
from gooseberryyoke.bundle.recognition import canonical_path

__all__ = ["Bundle"]

_TOP_LEVEL_KEYS = (
    "version",
    "deployment",
    "time_zone",
    "accounts",
    "services",
    "classes",
    "durable",
    "retries",
    "placement",
    "stop",
)
_UNSPECIFIED_PATIENCE = Patience()


class Bundle:
    """
    A validated bundle, built by `gooseberryyoke.bundle.parse_bundle`.

    Parameters
    ----------
    version : int
    deployment : str
    time_zone : str
        IANA name.
    accounts : dict of str to Account
    services : dict of str to Service
    classes : dict of str to RequestClass
    durable : DurableState
    retries : RetryLimits
    placement : Placement
    stop : Stop

    Attributes
    ----------
    digest : str
        SHA-256 in hexadecimal of the canonical JSON of the content. Comments, the order
        of keys and explicitly written default values don't affect it.
    """

    __slots__ = (
        *_TOP_LEVEL_KEYS,
        "digest",
        "_account_by_key_hash",
        "_classes_by_specificity",
    )

    def __init__(
        self,
        version,
        deployment,
        time_zone,
        accounts,
        services,
        classes,
        durable,
        retries,
        placement,
        stop,
    ):
        self.version = version
        self.deployment = deployment
        self.time_zone = time_zone
        self.accounts = accounts
        self.services = services
        self.classes = classes
        self.durable = durable
        self.retries = retries
        self.placement = placement
        self.stop = stop
        self.digest = None
        self._account_by_key_hash = {
            stored_hash: account
            for account in accounts.values()
            for stored_hash in account.key_hashes
        }
        self._classes_by_specificity = sorted(
            classes.values(),
            key=lambda request_class: request_class.recognition.specificity(),
            reverse=True,
        )

    def account_for(self, token):
        """
        Look up the account of a bearer key.

        The key is hashed before the lookup, so the time taken doesn't reveal how much
        of a guessed key is correct.

        Parameters
        ----------
        token : str
            Bearer key in plain text.

        Returns
        -------
        Account or None
            None if no account has this key.
        """
        return self._account_by_key_hash.get(key_hash(token))

    def classify(self, method, path, model=None, label=None):
        """
        Determine the class of a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request target as received, without the query.
        model : str, optional
            Model requested by a chat completion.
        label : str, optional
            Class label set by the caller.

        Returns
        -------
        RequestClass or None
            None if no class matches or if the path is ambiguous.
        """
        canonical = canonical_path(path)
        if canonical is None:
            return None
        for request_class in self._classes_by_specificity:
            if request_class.recognition.matches(method, canonical, model, label):
                return request_class
        return None

    def patience_s(self, request_class, account, now_s):
        """
        Determine how long a caller waits for the complete response.

        Parameters
        ----------
        request_class : RequestClass
        account : Account
        now_s : float
            Seconds since 1970 in UTC.

        Returns
        -------
        float
            Seconds; the first value that is set, in this order: the account's window,
            the account's default, the window of the class, the default of the class.
        """
        minute = local_minute(now_s, account.time_zone or self.time_zone)
        account_patience = account.patience.get(
            request_class.name, _UNSPECIFIED_PATIENCE
        )
        patience_s = account_patience.at_minute(minute)
        if patience_s is not None:
            return patience_s
        class_patience = Patience(
            request_class.windows, request_class.default_patience_s
        )
        return class_patience.at_minute(minute)

    def __eq__(self, other):
        if not isinstance(other, Bundle):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name) for name in _TOP_LEVEL_KEYS
        )

    def __repr__(self):
        return f"<Bundle {self.deployment} {self.version} {self.digest}>"


def content_digest(content):
    """
    Compute the digest of plain data.

    Parameters
    ----------
    content : dict

    Returns
    -------
    str
        SHA-256 in hexadecimal of the canonical JSON, with sorted keys and no spaces.
    """
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return sha256(text.encode()).hexdigest()
