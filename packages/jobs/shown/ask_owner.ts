import type { OwnerClient } from "@lagoonloom/peers";
import type { OwnerDirectory } from "../owned/owner_directory.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import type { JobState } from "../submission.ts";
import type { Shown } from "./shown.ts";

/** Longest wait for one answer of another member. */
const ASK_TIMEOUT_MS = 800;

/** Pause before an owner is looked for again. */
const RETRY_MS = 100;

/** What is needed to ask the owner of a partition, here or elsewhere. */
export type OwnerAccess = {
  /** Owner of a partition in this process. */
  local(partition: number): PartitionOwner | undefined;
  directory: OwnerDirectory;
  client(address: string): OwnerClient;
  /** Peer address of this process. */
  ownAddress: string;
};

/**
 * Asks the owner of a partition for the state of a job.
 *
 * @example
 * ```ts
 * const shown = await showJob(access, { partition, job: id, timeoutMs });
 * ```
 */
export async function showJob(
  access: OwnerAccess,
  options: { partition: number; job: string; timeoutMs: number },
): Promise<Shown<JobState>> {
  const { partition, job } = options;
  return await askOwner<JobState>(access, {
    ...options,
    local: (owner) => owner.getJobState(job),
    async remote(client, timeoutMs) {
      const answer = await client.show({ partition, job }, timeoutMs);
      if (answer?.isOwner !== true) return undefined;
      if (answer.isUnavailable) return { type: "unavailable" };
      if (answer.state === "") return { type: "missing" };
      return { type: "known", value: answer.state as JobState };
    },
  });
}

/** Asks the owner of a partition how many jobs of a queue have not begun. */
export async function countPending(
  access: OwnerAccess,
  options: { partition: number; queue: string; timeoutMs: number },
): Promise<Shown<number>> {
  const { partition, queue } = options;
  return await askOwner<number>(access, {
    ...options,
    local: (owner) =>
      Promise.resolve({ type: "known", value: owner.countPending(queue) }),
    async remote(client, timeoutMs) {
      const answer = await client.countPending(
        { partition, queue },
        timeoutMs,
      );
      if (answer?.isOwner !== true) return undefined;
      return { type: "known", value: answer.pending };
    },
  });
}

type Question<Value> = {
  partition: number;
  timeoutMs: number;
  local(owner: PartitionOwner): Promise<Shown<Value>>;
  remote(
    client: OwnerClient,
    timeoutMs: number,
  ): Promise<Shown<Value> | undefined>;
};

async function askOwner<Value>(
  access: OwnerAccess,
  question: Question<Value>,
): Promise<Shown<Value>> {
  const endMs = performance.now() + question.timeoutMs;
  while (true) {
    const owner = access.local(question.partition);
    if (owner?.isLoaded() === true) return await question.local(owner);
    const leftMs = endMs - performance.now();
    if (leftMs <= 0) return { type: "unavailable" };
    const address = await access.directory.find(question.partition);
    if (address !== undefined && address !== access.ownAddress) {
      const timeoutMs = Math.ceil(Math.min(ASK_TIMEOUT_MS, leftMs));
      const answer = await question.remote(access.client(address), timeoutMs);
      if (answer !== undefined) return answer;
    }
    access.directory.invalidate();
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
}
