/**
 * Interfaces through which jobs reach the platform: its store, executors,
 * machines and the advice service.
 *
 * @module
 */

import type { Machine } from "./fleet.ts";

/** Record of a compacted topic, which keeps the newest value of each key. */
export type KeyedRecord = {
  key: string;
  /** Undefined deletes the key, as a tombstone does. */
  value: string | undefined;
};

/** Record that was read from the store, with its offset. */
export type StoredRecord = KeyedRecord & { offset: number };

/** Outcome of an append. */
export type AppendOutcome =
  /** `offset` is that of the first record, if the store names it. */
  | { type: "stored"; offset?: number | undefined }
  /** Certainly not stored. */
  | { type: "refused"; reason: string; retryAfterMs: number }
  /** Certainly not stored, nor if it is repeated: too long or malformed. */
  | { type: "rejected"; reason: string }
  /** A writer with a higher epoch has appended. */
  | { type: "fenced" }
  /** The sequence number does not follow the previous one. */
  | { type: "outOfSequence"; expected: number | undefined }
  /** The next offset of the partition is not the expected one. */
  | { type: "conflict" }
  /** Possibly stored already, or stored later. */
  | { type: "unknown"; reason: string };

/**
 * Idempotent producer. The store fences a writer out once the same name has
 * appended with a higher epoch.
 */
export type Writer = { name: string; epoch: number; sequence: number };

/** Partition of a topic in the store. */
export type TopicPartition = { topic: string; partition: number };

/**
 * Outcome of a read. `gap` means that the store has dropped records which were
 * not read yet.
 */
export type ReadOutcome =
  | {
    type: "read";
    records: StoredRecord[];
    nextOffset: number;
    /** Offset after the last record of the partition, if it is named. */
    end?: number;
  }
  | { type: "gap" }
  | { type: "failed"; reason: string };

/** Newest record of each key; later changes start at `nextOffset`. */
export type NewestOutcome =
  | { type: "read"; records: StoredRecord[]; nextOffset: number }
  | { type: "failed"; reason: string };

/** Outcome of a join: the partitions assigned to the member. */
export type JoinOutcome =
  | { type: "joined"; generation: number; partitions: number[] }
  | { type: "failed"; reason: string };

/** Client of the platform's store of partitioned topics. */
export type Store = {
  append(
    partition: TopicPartition,
    options: {
      records: readonly KeyedRecord[];
      writer?: Writer;
      /** Next offset that the partition must have for the append to succeed. */
      expectedNextOffset?: number;
      timeoutMs: number;
    },
  ): Promise<AppendOutcome>;
  /** Long-polls for records from an offset on; a wait of 0 returns at once. */
  read(
    partition: TopicPartition,
    options: { from: number; waitMs: number },
  ): Promise<ReadOutcome>;
  readNewest(partition: TopicPartition): Promise<NewestOutcome>;
  /** Joins a consumer group, or renews the membership for `ttlMs`. */
  join(options: {
    group: string;
    member: string;
    topic: string;
    ttlMs: number;
    generation: number;
  }): Promise<JoinOutcome>;
  leave(options: { group: string; member: string }): Promise<void>;
  /** Member by partition; undefined if the store did not answer. */
  owners(group: string): Promise<Map<number, string> | undefined>;
};

/** Request to start a run of a task on an executor. */
export type StartRequest = {
  task: string;
  run: number;
  spec: string;
  /** Time on the executor's clock at which its lease expires. */
  leaseExpiryMs: number;
  token: number;
  /** Checkpoint to continue from; empty to start from the beginning. */
  checkpoint: string;
  /** Ticket of the advice service; empty if the queue needs none. */
  ticket: string;
};

/** Outcome of a request to start a run. */
export type StartOutcome =
  | { type: "started"; clockMs: number }
  /**
   * - `fence`: the executor has seen a higher fencing token.
   * - `old`: the run number is not higher than one it has seen for the task.
   * - `late`: the lease has expired on its clock already.
   * - `room`: it has no capacity for the task.
   * - `ticket`: the ticket is not valid.
   * - `unhealthy`: it accepts no requests at the moment.
   * - `bad`: it rejects the request for another reason.
   */
  | {
    type: "refused";
    reason: "fence" | "old" | "late" | "room" | "ticket" | "unhealthy" | "bad";
    /** Clock of the executor; undefined if the answer has none. */
    clockMs: number | undefined;
  }
  /** Another executor process answers at the address. */
  | { type: "replaced" }
  /** Certainly not sent. */
  | { type: "notSent"; reason: string }
  /** Possibly started already, or started later. */
  | { type: "unknown"; reason: string };

/** Outcome of a request to stop or throttle a run. */
export type CommandOutcome =
  | { type: "done" }
  | { type: "fenced" }
  /** Another executor process answers at the address. */
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/** Running task as its executor reports it. */
export type RunReport = {
  task: string;
  run: number;
  /** Newest checkpoint of the run; empty if it has none. */
  checkpoint: string;
  progressPercent: number;
  /** Tail response time in milliseconds, or thousandths of a core in use. */
  load: number;
};

/** End of a run, which the executor reports until it is acknowledged. */
export type RunEnd = {
  /** Number of the end on its executor, in ascending order. */
  sequence: number;
  task: string;
  run: number;
  /** Result in the terms of the platform; `lapsed` means an expired lease. */
  result: "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";
  checkpoint: string;
};

/** Outcome of polling an executor. */
export type PollOutcome =
  | {
    type: "polled";
    clockMs: number;
    /** Start of the executor's process; undefined if it does not say. */
    startedAtMs: number | undefined;
    running: RunReport[];
    /** Ends that are not acknowledged yet. */
    ended: RunEnd[];
  }
  | { type: "fenced" }
  /** Another executor process answers at the address. */
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/**
 * Executor that a call is meant for. By the id, another executor process at the
 * same address knows to reject the call.
 */
export type ExecutorTarget = { id: string; address: string };

/** Client of the executors, which run tasks. */
export type ExecutorClient = {
  /**
   * Starts a run. The signal takes a request back that was not sent yet, which
   * then ends as `notSent`.
   */
  start(
    target: ExecutorTarget,
    request: StartRequest,
    options?: { signal?: AbortSignal },
  ): Promise<StartOutcome>;
  stop(
    target: ExecutorTarget,
    request: { task: string; run: number; token: number },
  ): Promise<CommandOutcome>;
  /** Limits a run to a percentage of its full work rate. */
  throttle(
    target: ExecutorTarget,
    request: {
      task: string;
      run: number;
      token: number;
      ratePercent: number;
    },
  ): Promise<CommandOutcome>;
  /**
   * Asks for the running and ended runs. The same request renews the lease if
   * `leaseExpiryMs` is given, and acknowledges ends up to a sequence number.
   */
  poll(
    target: ExecutorTarget,
    request: {
      leaseExpiryMs?: number;
      token: number;
      acknowledgedSequence: number;
      /** Longest time for which the executor waits for a new end. */
      waitMs: number;
    },
  ): Promise<PollOutcome>;
};

/** Outcome of a request to move or maintain a machine. */
export type MachineOutcome =
  | { type: "done" }
  | { type: "refused"; reason: "fence" | "busy" | "wave" | "bad" }
  | { type: "unknown"; reason: string };

/**
 * Holder of the lease on the machines. The platform refuses a token that is
 * lower than one it has seen.
 */
export type MachineLeaseHolder = { name: string; token: number };

/** Client of the platform's machines. */
export type MachineClient = {
  /** Lists all machines; undefined if the platform did not answer. */
  list(): Promise<Machine[] | undefined>;
  move(
    request: { machine: string; pool: string },
    holder: MachineLeaseHolder,
  ): Promise<MachineOutcome>;
  upkeep(
    request: { machine: string; wave: number },
    holder: MachineLeaseHolder,
  ): Promise<MachineOutcome>;
  /** Tells operators the state of a wave; false if it is not stored yet. */
  announce(wave: number, state: "running" | "completed"): Promise<boolean>;
};

/** Client of the advice service, which decides where a step may run. */
export type AdviceClient = {
  /**
   * Requests tickets to run a step. Executors without a ticket may not run it.
   *
   * @returns ticket by executor, with the time for which the tickets are
   * valid; undefined if the service did not answer
   */
  requestTickets(
    step: string,
    executors: readonly string[],
  ): Promise<
    { tickets: Map<string, string>; validMs: number } | undefined
  >;
};
