"""The accepted bundles in the durable state, and the lease on the newest one."""

from gooseberryyoke_daemon.bundles.keeper import BundleKeeper
from gooseberryyoke_daemon.bundles.lease import BundleLease

__all__ = ["BundleKeeper", "BundleLease"]
