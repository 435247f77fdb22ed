/**
 * Tickets of the advice service, which allow executors to run steps.
 *
 * @module
 */

import type { TaskGroup } from "../job.ts";
import type { AdviceClient } from "../ports.ts";
import { type ExecutorState, isOfService } from "../executor_state.ts";

/** Largest number of executors in one request. */
const MAX_REQUESTED_EXECUTORS = 30;

/** Pause after a request without an answer. */
const RETRY_MS = 300;

/** Time before tickets expire at which they are requested again. */
const RENEWAL_MARGIN_MS = 300;

/** Cache of the tickets that allow executors to run steps. */
export type TicketCache = {
  /**
   * Whether an executor may run a step. If that is not known, returns false and
   * requests the tickets of the step for the executors of its service.
   */
  mayRun(
    group: TaskGroup,
    executors: readonly ExecutorState[],
    executor: ExecutorState,
  ): boolean;
  /**
   * Whether an executor is known not to be allowed to run a step. Requests
   * nothing.
   */
  isRefused(group: TaskGroup, executor: ExecutorState): boolean;
  /** Ticket to run a step on an executor; undefined if there is none. */
  ticketFor(group: TaskGroup, executor: ExecutorState): string | undefined;
  /** Drops a ticket that the executor has refused. */
  forget(group: TaskGroup, executor: ExecutorState): void;
  /** Drops all tickets of a step that needs none any more. */
  close(group: TaskGroup): void;
};

/** Tickets of a step. */
type CacheEntry = {
  tickets: Map<string, string>;
  /** Executors for which the service has answered. */
  askedExecutors: Set<string>;
  validUntilMs: number;
  isRequesting: boolean;
};

/**
 * Creates a cache of tickets. The service does not change its answer until the
 * tickets expire, so that each executor is asked for only once before that.
 * `onChange` is called after each answer, and once a failed request may be
 * repeated.
 */
export function createTicketCache(
  client: AdviceClient,
  { onChange }: { onChange(): void },
): TicketCache {
  const entries = new Map<string, CacheEntry>();

  const request = async (
    group: TaskGroup,
    executors: readonly ExecutorState[],
  ) => {
    const key = keyOf(group);
    const entry = entries.get(key) ?? {
      tickets: new Map<string, string>(),
      askedExecutors: new Set<string>(),
      validUntilMs: Infinity,
      isRequesting: false,
    };
    entries.set(key, entry);
    if (entry.isRequesting) return;
    const isExpired = performance.now() > entry.validUntilMs;
    if (isExpired) entry.askedExecutors.clear();
    const requested = executors
      .filter((executor) => isOfService(executor, group))
      .filter(({ id, isRemoved }) =>
        !isRemoved && !entry.askedExecutors.has(id)
      )
      .slice(0, MAX_REQUESTED_EXECUTORS)
      .map(({ id }) => id);
    if (requested.length === 0) return;
    entry.isRequesting = true;
    const sentMs = performance.now();
    const answer = await client.requestTickets(key, requested);
    if (answer === undefined) {
      setTimeout(() => {
        entry.isRequesting = false;
        onChange();
      }, RETRY_MS);
      return;
    }
    entry.isRequesting = false;
    for (const id of requested) entry.askedExecutors.add(id);
    for (const [id, ticket] of answer.tickets) entry.tickets.set(id, ticket);
    entry.validUntilMs = sentMs + answer.validMs - RENEWAL_MARGIN_MS;
    onChange();
  };

  const isValid = (entry: CacheEntry | undefined): entry is CacheEntry =>
    entry !== undefined && performance.now() <= entry.validUntilMs;

  return {
    mayRun(group, executors, executor) {
      const entry = entries.get(keyOf(group));
      if (isValid(entry) && entry.askedExecutors.has(executor.id)) {
        return entry.tickets.has(executor.id);
      }
      void request(group, executors);
      return false;
    },
    isRefused(group, { id }) {
      const entry = entries.get(keyOf(group));
      return isValid(entry) && entry.askedExecutors.has(id) &&
        !entry.tickets.has(id);
    },
    ticketFor(group, executor) {
      return entries.get(keyOf(group))?.tickets.get(executor.id);
    },
    forget(group, executor) {
      const entry = entries.get(keyOf(group));
      entry?.askedExecutors.delete(executor.id);
      entry?.tickets.delete(executor.id);
    },
    close: (group) => void entries.delete(keyOf(group)),
  };
}

function keyOf(group: TaskGroup): string {
  return `${group.job.id}.${group.occurrence}.${group.stepIndex}`;
}
