"""The bundle: all that operators state, under one version."""

import json
from hashlib import sha256

from gooseberryyoke.bundle.account import key_hash
from gooseberryyoke.bundle.patience import Patience, local_minute
from gooseberryyoke.bundle.recognition import canonical_path

__all__ = ["Bundle"]

_SECTIONS = (
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
_NO_PATIENCE = Patience()


class Bundle:
    """
    A checked bundle; made by `gooseberryyoke.bundle.parse_bundle`.

    Parameters
    ----------
    version : int
    deployment : str
    time_zone : str
        IANA name.
    accounts : dict of str to Account
    services : dict of str to Service
    classes : dict of str to RequestClass
    durable : Durable
    retries : RetryLimits
    placement : Placement
    stop : Stop

    Attributes
    ----------
    digest : str
        SHA-256 in hexadecimal of the canonical JSON of the content. Comments, order of
        keys and values written out that equal their defaults don't change it.
    """

    __slots__ = (*_SECTIONS, "digest", "_by_key_hash", "_by_specificity")

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
        self._by_key_hash = {
            key_hash: account
            for account in accounts.values()
            for key_hash in account.key_hashes
        }
        self._by_specificity = sorted(
            classes.values(),
            key=lambda item: item.recognition.specificity(),
            reverse=True,
        )

    def account_for(self, token):
        """
        Find the account that a bearer key names.

        The key is hashed before it is looked up, so the time taken tells nothing about
        how much of a guessed key is right.

        Parameters
        ----------
        token : str

        Returns
        -------
        Account or None
        """
        return self._by_key_hash.get(key_hash(token))

    def classify(self, method, path, model=None, label=None):
        """
        Find the class of a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the request target, without the query, as the caller sent it.
        model : str, optional
            The model that a chat completion names.
        label : str, optional
            The class that the caller names.

        Returns
        -------
        RequestClass or None
            None if no class matches, or if the path could be read in two ways.
        """
        canonical = canonical_path(path)
        if canonical is None:
            return None
        for request_class in self._by_specificity:
            if request_class.recognition.matches(method, canonical, model, label):
                return request_class
        return None

    def patience_s(self, request_class, account, now_s):
        """
        Find how long a caller waits for a whole answer.

        Parameters
        ----------
        request_class : RequestClass
        account : Account
        now_s : float
            Seconds since 1970 in UTC.

        Returns
        -------
        float
            Seconds, by the first that says so: the account's window, the account's
            default, the window of the class, the default of the class.
        """
        minute = local_minute(now_s, account.time_zone or self.time_zone)
        own = account.patience.get(request_class.name, _NO_PATIENCE)
        patience_s = own.at_minute(minute)
        if patience_s is not None:
            return patience_s
        general = Patience(request_class.windows, request_class.default_patience_s)
        return general.at_minute(minute)

    def __eq__(self, other):
        if not isinstance(other, Bundle):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in _SECTIONS)

    def __repr__(self):
        return f"<Bundle {self.deployment} {self.version} {self.digest}>"


def content_digest(content):
    """
    Digest plain data.

    Parameters
    ----------
    content : dict

    Returns
    -------
    str
        SHA-256 in hexadecimal of the canonical JSON: keys sorted, no spaces.
    """
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return sha256(text.encode()).hexdigest()
