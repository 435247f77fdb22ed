import type { TaskGroup } from "../job.ts";
import type { AdviceClient } from "../ports.ts";
import type { Worker } from "../worker.ts";

/** Executors that one call asks about. */
const MAX_ASKED = 30;

/** Pause after a call without an answer. */
const RETRY_MS = 300;

/** Time before the end of a permission at which it is asked for again. */
const RENEWAL_MARGIN_MS = 300;

/** Permissions of executors to run steps. */
export type TicketCache = {
  /** Whether a worker may run the step; asks if that is not known. */
  isAllowed(
    group: TaskGroup,
    workers: readonly Worker[],
    worker: Worker,
  ): boolean;
  ticketFor(group: TaskGroup, worker: Worker): string | undefined;
  forget(group: TaskGroup, worker: Worker): void;
};

type CacheEntry = {
  tickets: Map<string, string>;
  asked: Set<string>;
  validUntilMs: number;
  isAsking: boolean;
};

/**
 * Creates the book of permissions. A step is asked about once, for a bounded
 * number of executors; the answer does not change until it expires.
 */
export function createTicketCache(
  advice: AdviceClient,
  { onChange }: { onChange(): void },
): TicketCache {
  const entries = new Map<string, CacheEntry>();

  const ask = async (key: string, workers: readonly Worker[]) => {
    const entry = entries.get(key) ?? {
      tickets: new Map<string, string>(),
      asked: new Set<string>(),
      validUntilMs: Infinity,
      isAsking: false,
    };
    entries.set(key, entry);
    if (entry.isAsking) return;
    const isExpired = performance.now() > entry.validUntilMs;
    if (isExpired) entry.asked.clear();
    const asked = workers.filter(({ id, isRemoved: isGone }) =>
      !isGone && !entry.asked.has(id)
    ).slice(0, MAX_ASKED).map(({ id }) => id);
    if (asked.length === 0) return;
    entry.isAsking = true;
    const sentMs = performance.now();
    const answer = await advice.requestTickets(key, asked);
    if (answer === undefined) {
      setTimeout(() => {
        entry.isAsking = false;
        onChange();
      }, RETRY_MS);
      return;
    }
    entry.isAsking = false;
    for (const id of asked) entry.asked.add(id);
    for (const [id, ticket] of answer.tickets) entry.tickets.set(id, ticket);
    entry.validUntilMs = sentMs + answer.validMs - RENEWAL_MARGIN_MS;
    onChange();
  };

  const isValid = (entry: CacheEntry | undefined): entry is CacheEntry =>
    entry !== undefined && performance.now() <= entry.validUntilMs;

  return {
    isAllowed(group, workers, worker) {
      const key = keyOf(group);
      const entry = entries.get(key);
      if (isValid(entry) && entry.asked.has(worker.id)) {
        return entry.tickets.has(worker.id);
      }
      void ask(key, workers);
      return false;
    },
    ticketFor(group, worker) {
      return entries.get(keyOf(group))?.tickets.get(worker.id);
    },
    forget(group, worker) {
      const entry = entries.get(keyOf(group));
      entry?.asked.delete(worker.id);
      entry?.tickets.delete(worker.id);
    },
  };
}

function keyOf(group: TaskGroup): string {
  return `${group.job.id}.${group.occurrence}.${group.stepIndex}`;
}
