"""A queue model of an engine with continuous batching and a prefix cache."""

from collections import OrderedDict, deque
from heapq import heappop, heappush

from gooseberryyoke.balance import PREFIX_BLOCK_TOKENS, LoadReport

__all__ = ["BASE_STEP_S", "BATCH_SLOTS", "Engine", "PREFILL_TOKEN_S", "SLOT_STEP_S"]

BATCH_SLOTS = 32
BASE_STEP_S = 0.012
SLOT_STEP_S = 0.0004
PREFILL_TOKEN_S = 0.00006
PREFILL_CHUNK_TOKENS = 512
CACHE_BLOCKS = 600
MEAN_WEIGHT = 0.1


class Engine:
    """
    An engine that runs its batch step by step.

    Parameters
    ----------
    server_id : str
    data_centre : str
    slowness : float
        Factor on the time of each step; above 1 for a straggler.
    """

    def __init__(self, server_id, data_centre, slowness=1.0):
        self.server_id = server_id
        self.data_centre = data_centre
        self.slowness = slowness
        self.queue = []
        self.prefilling = deque()
        self.decoding = []
        self.cancelled = set()
        self.present = set()
        self.decoding_jobs = set()
        self.steps = 0
        self.busy = False
        self.step_s = slowness * (BASE_STEP_S + SLOT_STEP_S * BATCH_SLOTS / 2)
        self.cache = OrderedDict()
        self.stored, self.evicted = [], []
        self.prompt_tokens = self.hit_tokens = 0
        self.sequence = 0

    def submit(self, job):
        """Put a job into the queue, by its priority."""
        self.present.add(job.attempt_id)
        heappush(self.queue, (job.demand.priority, job.attempt_id, job))

    def cancel(self, attempt_id):
        """Drop a job wherever it is; the slot is free at the next step."""
        if attempt_id in self.present:
            self.present.discard(attempt_id)
            self.decoding_jobs.discard(attempt_id)
            self.cancelled.add(attempt_id)

    def step(self):
        """
        Run one step.

        Returns
        -------
        tuple
            Duration in seconds, jobs that get their first token at its end,
            and jobs that end with it.
        """
        self._fill_slots()
        tokens, first = self._prefill()
        batch = len(self.decoding_jobs) + len(first)
        duration_s = self.slowness * (
            BASE_STEP_S + SLOT_STEP_S * batch + PREFILL_TOKEN_S * tokens
        )
        self.step_s += MEAN_WEIGHT * (duration_s - self.step_s)
        self.steps += 1
        ended = []
        for job in first:
            self.decoding_jobs.add(job.attempt_id)
            finish = (self.steps + job.answer_tokens - 1, job.attempt_id, job)
            heappush(self.decoding, finish)
        while self.decoding and self.decoding[0][0] <= self.steps:
            job = heappop(self.decoding)[2]
            if job.attempt_id in self.cancelled:
                self.cancelled.discard(job.attempt_id)
                continue
            self.present.discard(job.attempt_id)
            self.decoding_jobs.discard(job.attempt_id)
            ended.append(job)
        return duration_s, first, ended

    def idle(self):
        """Whether there is nothing to do."""
        return not self.present

    def report(self):
        """Make a load report of this moment."""
        self.sequence += 1
        running = len(self.decoding_jobs) + len(self.prefilling)
        queued = max(0, len(self.present) - running)
        return LoadReport(
            self.sequence,
            0.0,
            running,
            queued,
            BATCH_SLOTS,
            self.step_s,
            1 / (PREFILL_TOKEN_S * self.slowness),
            sum(left for left, _ in self.prefilling),
            self._queued_by_priority(),
        )

    def cache_events(self):
        """Take the digests stored and evicted since the last call."""
        events = self.stored, self.evicted
        self.stored, self.evicted = [], []
        return events

    def take_prefix(self, digests):
        """Take blocks that another engine exported."""
        self._store(digests)

    def _queued_by_priority(self):
        counts = {}
        for priority, attempt_id, _ in self.queue:
            if attempt_id not in self.cancelled:
                counts[priority] = counts.get(priority, 0) + 1
        return sorted(counts.items())

    def _fill_slots(self):
        free = BATCH_SLOTS - len(self.decoding_jobs) - len(self.prefilling)
        while free > 0 and self.queue:
            job = heappop(self.queue)[2]
            if job.attempt_id in self.cancelled:
                self.cancelled.discard(job.attempt_id)
                continue
            self.prefilling.append([self._uncached_tokens(job), job])
            free -= 1

    def _prefill(self):
        budget, done = PREFILL_CHUNK_TOKENS, []
        while self.prefilling and budget > 0:
            entry = self.prefilling[0]
            if entry[1].attempt_id in self.cancelled:
                self.cancelled.discard(entry[1].attempt_id)
                self.prefilling.popleft()
                continue
            taken = min(budget, entry[0])
            entry[0] -= taken
            budget -= taken
            if entry[0] == 0:
                self.prefilling.popleft()
                self._store(entry[1].demand.prefix_digests)
                done.append(entry[1])
        return PREFILL_CHUNK_TOKENS - budget, done

    def _uncached_tokens(self, job):
        blocks = 0
        for digest in job.demand.prefix_digests:
            if digest not in self.cache:
                break
            self.cache.move_to_end(digest)
            blocks += 1
        hit = min(blocks * PREFIX_BLOCK_TOKENS, job.demand.prompt_tokens - 1)
        job.cached_tokens = hit
        self.prompt_tokens += job.demand.prompt_tokens
        self.hit_tokens += hit
        return job.demand.prompt_tokens - hit

    def _store(self, digests):
        for digest in digests:
            if digest not in self.cache:
                self.stored.append(digest)
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > CACHE_BLOCKS:
            self.evicted.append(self.cache.popitem(last=False)[0])
