from gooseberryyoke.bundle import parse_bundle
from gooseberryyoke_daemon.bundles import BundleLease
from gooseberryyoke_daemon.testing.session import BUNDLE_TEXT


def bundle(version):
    text = BUNDLE_TEXT.replace("version: 1", f"version: {version}")
    return parse_bundle(text).unwrap()


def test_crossed_reads_never_bring_back_an_older_bundle():
    """
    Callers never meet a bundle again that has been replaced.

    Two reads are under way when a bundle is rolled. The one that found the older
    bundle ends last.
    """
    lease = BundleLease()
    assert lease.install(bundle(2), read_started_s=1.0)
    assert not lease.install(bundle(1), read_started_s=0.9)
    assert lease.current(1.5).version == 2


def test_lease_runs_from_the_start_of_the_read():
    """
    An entry stops serving by a bundle before its successor counts as in force.

    The read that confirmed the bundle took long; the successor was accepted just
    after the replicas had answered it.
    """
    lease = BundleLease()
    lease.install(bundle(1), read_started_s=0.0)
    lease.renew(read_started_s=5.0)
    lease.renew(read_started_s=4.0)
    assert lease.current(6.9).version == 1
    assert lease.current(7.0) is None
