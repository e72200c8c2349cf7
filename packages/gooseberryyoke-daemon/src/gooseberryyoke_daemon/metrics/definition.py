"""The metrics that a process has, with their labels and buckets."""

from gooseberryyoke.record import Record

__all__ = ["COUNTERS", "GAUGES", "HISTOGRAMS", "CALL_LABELS", "Definition"]

CALL_LABELS = ("account", "class")
_INFINITY = float("inf")
_WAIT_BUCKETS_S = (
    *(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 0.93, 2.0, 5.0, 15.0, 60.0),
    _INFINITY,
)
# 41 ms between tokens for 95 in 100 is what callers are promised.
_TOKEN_BUCKETS_S = (0.01, 0.02, 0.03, 0.041, 0.06, 0.1, 0.25, 1.0, _INFINITY)
_GAP_BUCKETS_S = (0.04, 0.06, 0.08, 0.1, 0.12, 0.16, 0.25, 0.5, 1.0, 2.0, _INFINITY)
_MARGIN_BUCKETS_S = (
    *(-5.0, -1.0, -0.25, 0.0, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0),
    _INFINITY,
)


class Definition(Record):
    """
    One metric.

    Parameters
    ----------
    name : str
        Without the prefix that all have.
    help : str
    labels : tuple of str
    buckets : tuple of float
        Upper bounds of a histogram, in seconds.
    """

    __slots__ = ("name", "help", "labels", "buckets")

    def __init__(self, name, help, labels=(), buckets=()):
        self.name = name
        self.help = help
        self.labels = labels
        self.buckets = buckets


HISTOGRAMS = (
    Definition(
        "queue_wait_seconds",
        "From the arrival of a request to its first dispatch.",
        CALL_LABELS,
        _WAIT_BUCKETS_S,
    ),
    Definition(
        "first_token_seconds",
        "From the arrival of a request to the first piece of its answer.",
        CALL_LABELS,
        _WAIT_BUCKETS_S,
    ),
    Definition(
        "between_tokens_seconds",
        "Mean time between the pieces of one streamed answer.",
        CALL_LABELS,
        _TOKEN_BUCKETS_S,
    ),
    Definition(
        "longest_gap_seconds",
        "Longest time between two events of one streamed answer, as servers sent them.",
        CALL_LABELS,
        _GAP_BUCKETS_S,
    ),
    Definition(
        "answer_seconds",
        "From the arrival of a request to the end of its answer.",
        CALL_LABELS,
        _WAIT_BUCKETS_S,
    ),
    Definition(
        "deadline_margin_seconds",
        "Patience left at the end of an answer; below 0 if it came too late.",
        CALL_LABELS,
        _MARGIN_BUCKETS_S,
    ),
    Definition(
        "departure_answer_seconds",
        "From a server's word that it leaves to the answer, by outcome: settled by a "
        "majority of replicas, or unsettled in time.",
        ("outcome",),
        _WAIT_BUCKETS_S,
    ),
    Definition(
        "departure_told_seconds",
        "From a server's departure until this control process's followers have taken "
        "it, by outcome: all told, or some missing after 2 s.",
        ("outcome",),
        _WAIT_BUCKETS_S,
    ),
)

COUNTERS = (
    Definition(
        "verdicts_total",
        "Final answers by verdict.",
        (*CALL_LABELS, "verdict"),
    ),
    Definition(
        "refusals_total",
        "Requests refused, by reason.",
        (*CALL_LABELS, "reason"),
    ),
    Definition(
        "late_answers_total",
        "Whole answers that came later than their callers want them, by cause.",
        (*CALL_LABELS, "cause"),
    ),
    Definition("retries_total", "Attempts after the first.", CALL_LABELS),
    Definition(
        "retry_decisions_total",
        "Decisions on a further attempt, by what had failed and by outcome.",
        ("service", "cause", "outcome"),
    ),
    Definition(
        "server_backoffs_total",
        "Refusals by which a server asked this gateway for a pause.",
        ("service",),
    ),
    Definition(
        "ends_not_told_total",
        "Answers of servers that had neither a length nor chunks: nothing tells a "
        "whole one from one that was cut off between two events.",
        ("service",),
    ),
    Definition(
        "ends_under_requests_total",
        "Requests of this gateway under which a server ended before the answer held.",
        ("service",),
    ),
    Definition(
        "prompt_parts_cleared_total",
        "Parts of prompts that ends of servers were held against, proven sound since.",
        ("service",),
    ),
    Definition(
        "slots_assigned_twice_total",
        "Requests of this gateway that met an engine with all slots taken.",
        ("service",),
    ),
    Definition(
        "starts_announced_total",
        "Requests of this gateway that others were told of at once.",
        ("service",),
    ),
    Definition(
        "messages_refused_total",
        "Messages on the internal port that were refused, by reason.",
        ("reason",),
    ),
    Definition("orders_refused_total", "Orders that an agent refused.", ("reason",)),
)

GAUGES = (
    Definition("bundle_version", "Version of the bundle in force; 0 for none."),
    Definition("bundle_lease_seconds", "What is left of the lease on the bundle."),
    Definition(
        "start_to_table_seconds",
        "From the start of a gateway to its first route table; missing until then.",
    ),
    Definition("requests_in_flight", "Requests without a final answer yet."),
    Definition(
        "held_bytes",
        "Bytes of requests and answers held for peers that send or read slowly.",
    ),
    Definition(
        "answers_read_ahead",
        "Answers that were read ahead of slow callers, since the start.",
    ),
    Definition(
        "memory_refusals",
        "Requests refused because too many bytes were held, since the start.",
    ),
    Definition(
        "tls_certificate_left_seconds",
        "Until the certificate of a port expires; below 0 if it has.",
        ("port",),
    ),
    Definition(
        "prompt_parts_suspected",
        "Parts of prompts whose requests wait for one that is sent on trial.",
    ),
    Definition(
        "prompt_parts_quarantined",
        "Parts of prompts whose requests are refused, as servers ended under them.",
    ),
    Definition(
        "requests_quarantined",
        "Requests that are sent to no further server, as three have ended under each.",
    ),
    Definition("servers", "Backend servers that take requests.", ("service",)),
    Definition(
        "servers_in_backoff",
        "Of these, the servers that have asked this gateway for a pause.",
        ("service",),
    ),
    Definition(
        "departure_followers_told",
        "Followers of this control process that have taken the last departure.",
    ),
    Definition("evacuated_data_centres", "Data centres that are evacuated."),
    Definition(
        "evacuation_revision",
        "Of the state of evacuations that this gateway goes by.",
    ),
    Definition(
        "evacuated_since_seconds",
        "Unix time of the order to evacuate; 0 once it has been ended.",
        ("data_centre",),
    ),
    Definition(
        "evacuated_requests",
        "Requests of this gateway that still run in an evacuated data centre.",
        ("data_centre",),
    ),
    Definition(
        "servers_cold",
        "Backend servers that are cold, of services that declare what these take.",
        ("service",),
    ),
    Definition(
        "group_limit_part",
        "Part of a group's places that is used; under 1 after it has formed anew, and "
        "while its streams would be too slow otherwise.",
        ("group",),
    ),
    Definition(
        "group_limit",
        "Requests that may run in a group so that its streams keep their pace; -1 "
        "while nothing limits it. Missing for services without contention.",
        ("group",),
    ),
    Definition(
        "requests_waiting",
        "Requests that wait for a slot at this gateway; low numbers are urgent.",
        ("service", "urgency"),
    ),
)
