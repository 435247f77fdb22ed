/**
 * Queries the owner of a partition, in this process or in another member.
 *
 * @module
 */

import type { OwnerClient } from "@lagoonloom/peers";
import { sleep } from "../_sleep.ts";
import { compactCaller } from "../organisations/keys/job_access.ts";
import type { OwnerDirectory } from "../owned/owner_directory.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import type { FullService } from "../organisations/shares/full_services.ts";
import type { Caller, JobState } from "../submission.ts";
import { answerBefore, firstAnswer } from "./first_answer.ts";
import type { OwnerSilence } from "./owner_silence.ts";
import type {
  LocatedResult,
  QueryFailure,
  QueryResult,
} from "./query_result.ts";
import type { StoredStates } from "./stored_states.ts";

/** Time without an answer after which the owner is looked up again. */
const LOOKUP_INTERVAL_MS = 400;

/** Delay before the owner is looked up again. */
const RETRY_DELAY_MS = 100;

/**
 * Time without an answer from an owner that the store names all the while,
 * after which the stored state of a job is shown. The store names a lost owner
 * for 1.6 s.
 */
const MAX_OWNER_SILENCE_MS = 2_000;

/**
 * The same whatever owner the store names. It is longer than a takeover, in
 * which all members would read the partition at once.
 */
const MAX_VACANCY_MS = 3_000;

/** Access to the owners of partitions, in this process and in others. */
export type OwnerAccess = {
  /** Returns the owner of a partition if it is in this process. */
  localOwner(partition: number): PartitionOwner | undefined;
  directory: OwnerDirectory;
  /** Returns the client of the member at a peer address. */
  client(address: string): OwnerClient;
  /** Peer address of this process. */
  ownAddress: string;
  /** States of jobs as the store tells them. */
  storedStates: StoredStates;
  silence: OwnerSilence;
  /** Takes over which services of a partition are full, as its owner says. */
  noteFullServices(partition: number, full: readonly FullService[]): void;
};

/**
 * Queries the state of a job from the owner of the partition that keeps its
 * id, and from that of the one that runs it, if that is another one. While an
 * owner is silent, the state is the one that the store tells.
 *
 * @example
 * ```ts
 * const result = await queryJobState(access, {
 *   partition,
 *   job: id,
 *   caller,
 *   timeoutMs,
 * });
 * ```
 */
export async function queryJobState(
  access: OwnerAccess,
  options: {
    partition: number;
    job: string;
    caller: Caller;
    timeoutMs: number;
  },
): Promise<QueryResult<JobState>> {
  const deadlineMs = performance.now() + options.timeoutMs;
  const result = await queryOneOwner(access, options);
  if (result.type !== "elsewhere") return result;
  const next = await queryOneOwner(access, {
    ...options,
    partition: result.partition,
    timeoutMs: Math.max(0, deadlineMs - performance.now()),
  });
  // A job is handed on once at most.
  return next.type === "elsewhere" ? { type: "unavailable" } : next;
}

async function queryOneOwner(
  access: OwnerAccess,
  options: {
    partition: number;
    job: string;
    caller: Caller;
    timeoutMs: number;
  },
): Promise<LocatedResult<JobState>> {
  const { partition, job, caller, timeoutMs } = options;
  const deadlineMs = performance.now() + timeoutMs;
  const stored = () => access.storedStates.find(partition, { job, caller });
  const result = await queryOwner<LocatedResult<JobState>>(access, {
    ...options,
    async local(owner) {
      const result = await owner.getJobState(job, caller);
      access.noteFullServices(partition, owner.fullServices());
      return result;
    },
    async remote(client, timeoutMs) {
      const answer = await client.show(
        { partition, job, caller: compactCaller(caller) },
        timeoutMs,
      );
      if (answer?.isOwner !== true) return noAnswer(access, partition, answer);
      access.noteFullServices(partition, answer.full);
      if (answer.isUnavailable) return { type: "unavailable" };
      if (answer.runsIn !== undefined) {
        return { type: "elsewhere", partition: answer.runsIn };
      }
      if (answer.state === "") return { type: "missing" };
      return { type: "known", value: answer.state as JobState };
    },
    stored,
  });
  if (result.type !== "unavailable" || result.failure !== undefined) {
    return result;
  }
  // The owner doesn't know the job and can't read the store. This member may.
  const leftMs = Math.max(0, deadlineMs - performance.now());
  return await firstAnswer([stored()], leftMs) ?? result;
}

/**
 * Queries the state of a job in several partitions, of which one may have it.
 *
 * @returns `missing` only if the owners of all partitions don't know the job,
 * or have it for others than the caller
 */
export function findJobState(
  access: OwnerAccess,
  { partitions, ...query }: {
    partitions: readonly number[];
    job: string;
    caller: Caller;
    timeoutMs: number;
  },
): Promise<QueryResult<JobState>> {
  return new Promise((resolve) => {
    let openCount = partitions.length;
    let unavailable:
      | QueryResult<JobState> & { type: "unavailable" }
      | undefined;
    if (openCount === 0) resolve({ type: "missing" });
    for (const partition of partitions) {
      void queryJobState(access, { partition, ...query }).then(
        (result) => {
          if (result.type === "known") resolve(result);
          if (result.type === "unavailable") unavailable ??= result;
          openCount--;
          if (openCount === 0) resolve(unavailable ?? { type: "missing" });
        },
      );
    }
  });
}

/** Queries the number of jobs of a queue of which nothing has started. */
export async function queryPendingCount(
  access: OwnerAccess,
  options: { partition: number; queue: string; timeoutMs: number },
): Promise<QueryResult<number>> {
  const { partition, queue } = options;
  return await queryOwner<QueryResult<number>>(access, {
    ...options,
    local(owner) {
      access.noteFullServices(partition, owner.fullServices());
      const value = owner.countPending(queue);
      return Promise.resolve({ type: "known", value });
    },
    async remote(client, timeoutMs) {
      const answer = await client.countPending(
        { partition, queue },
        timeoutMs,
      );
      if (answer?.isOwner !== true) return noAnswer(access, partition, answer);
      access.noteFullServices(partition, answer.full);
      return { type: "known", value: answer.pending };
    },
  });
}

/** Notes that a member said not to be the owner, if it answered at all. */
function noAnswer(
  { silence }: OwnerAccess,
  partition: number,
  answer: object | undefined,
): undefined {
  if (answer !== undefined) silence.noteDenial(partition);
}

/** Stands for the store among the addresses that are called. */
const STORE = "store";

type OwnerQuery<Result> = {
  partition: number;
  timeoutMs: number;
  /** Queries an owner in this process. */
  local(owner: PartitionOwner): Promise<Result>;
  /** Queries another member; undefined if it gave no answer as the owner. */
  remote(
    client: OwnerClient,
    timeoutMs: number,
  ): Promise<Result | undefined>;
  /** Reads the result from the store; undefined if that can't tell. */
  stored?(): Promise<Result | undefined>;
};

/**
 * Looks up the owner and queries it until the timeout. A call goes on while the
 * owner is looked up again: a slow answer is better than none, and to ask again
 * would only add to the load of a slow owner.
 */
async function queryOwner<Result extends { type: string }>(
  access: OwnerAccess,
  query: OwnerQuery<Result>,
): Promise<Result | { type: "unavailable"; failure: QueryFailure }> {
  const { directory, silence, ownAddress } = access;
  const { partition } = query;
  const startedMs = performance.now();
  const deadlineMs = startedMs + query.timeoutMs;
  const failure = { partition, owner: "", calls: 0, reason: "no time left" };
  /** Calls that have not failed, by address. */
  const openCalls = new Map<string, Promise<Result | undefined>>();
  const leftMs = () => Math.max(0, deadlineMs - performance.now());
  let isOver = false;

  /** Makes a call, unless one to the address is open already. */
  const open = (
    address: string,
    send: () => Promise<Result | undefined>,
    onAnswer: () => void,
  ) => {
    if (openCalls.has(address)) return;
    const run = async () => {
      const answer = await send();
      // An answer stays, as it may come between two looks at the calls.
      if (answer === undefined) openCalls.delete(address);
      else onAnswer();
      return answer;
    };
    openCalls.set(address, run());
  };

  const callOwner = (address: string) =>
    open(
      address,
      () => {
        failure.calls++;
        failure.owner = address;
        failure.reason = "the owner gave no answer as such";
        const client = access.client(address);
        return query.remote(client, Math.ceil(leftMs()));
      },
      () => silence.noteAnswer(partition),
    );

  const readStored = (owner: string) =>
    open(
      STORE,
      async () => await query.stored?.(),
      () => silence.noteStored(partition, owner),
    );

  /** Calls the owner that the store names, and the store in its place. */
  const lookUp = async () => {
    const address = await directory.find(partition);
    if (isOver) return;
    const isElsewhere = address !== undefined && address !== ownAddress;
    const owner = isElsewhere ? address : "";
    silence.noteUnanswered(partition, { owner, startedMs });
    if (isElsewhere) callOwner(address);
    else failure.reason = "no other member is known as the owner";
    if (isSilent(silence, partition)) readStored(owner);
  };

  while (leftMs() > 0) {
    const owner = access.localOwner(partition);
    if (owner?.isLoaded() === true) return await query.local(owner);
    // A lookup may wait for the store. An answer must not wait for the lookup.
    const answer = await answerBefore(
      [...openCalls.values()],
      Promise.race([lookUp(), sleep(leftMs())]),
    ) ?? await firstAnswer(
      [...openCalls.values()],
      Math.min(LOOKUP_INTERVAL_MS, leftMs()),
    );
    if (answer !== undefined) {
      isOver = true;
      return answer;
    }
    directory.invalidate();
    await sleep(Math.min(RETRY_DELAY_MS, leftMs()));
  }
  isOver = true;
  const tookMs = performance.now() - startedMs;
  return { type: "unavailable", failure: { ...failure, tookMs } };
}

/** Returns whether the stored state of jobs is shown in place of an owner's. */
function isSilent(silence: OwnerSilence, partition: number): boolean {
  return silence.ownerSilentMs(partition) >= MAX_OWNER_SILENCE_MS ||
    silence.silentMs(partition) >= MAX_VACANCY_MS;
}
