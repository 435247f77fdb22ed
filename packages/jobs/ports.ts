import type { Machine } from "./fleet.ts";

/** Record of a topic that keeps the newest value of each key. */
export type KeyedRecord = {
  key: string;
  /** Undefined drops the key. */
  value: string | undefined;
};

/** Record that was read, with its place in the partition. */
export type StoredRecord = KeyedRecord & { offset: number };

/** Outcome of an append. */
export type AppendOutcome =
  | { type: "stored" }
  /** Provably not stored. */
  | { type: "refused"; reason: string; retryAfterMs: number }
  /** A newer writer has taken over. */
  | { type: "fenced" }
  /** The sequence number does not follow the last one. */
  | { type: "outOfSequence"; expected: number | undefined }
  /** The partition ends elsewhere than the condition says. */
  | { type: "conflict" }
  /** Possibly stored, now or later. */
  | { type: "unknown"; reason: string };

/** Writer whose older terms the store refuses. */
export type Writer = { name: string; epoch: number; sequence: number };

/** Place in the store. */
export type TopicPartition = { topic: string; partition: number };

/** Outcome of a read; `gap` means that records were lost before `first`. */
export type ReadOutcome =
  | { type: "read"; records: StoredRecord[]; nextOffset: number }
  | { type: "gap" }
  | { type: "failed"; reason: string };

/** Newest record of each key; `end` is the offset to read on from. */
export type NewestOutcome =
  | { type: "read"; records: StoredRecord[]; nextOffset: number }
  | { type: "failed"; reason: string };

/** Outcome of a join: the partitions of the member at a generation. */
export type JoinOutcome =
  | { type: "joined"; generation: number; partitions: number[] }
  | { type: "failed"; reason: string };

/** Store of the platform. */
export type Store = {
  append(
    place: TopicPartition,
    options: {
      records: readonly KeyedRecord[];
      writer?: Writer;
      /** End that the partition must have. */
      expectedNextOffset?: number;
      timeoutMs: number;
    },
  ): Promise<AppendOutcome>;
  read(
    place: TopicPartition,
    options: { from: number; waitMs: number },
  ): Promise<ReadOutcome>;
  readNewest(place: TopicPartition): Promise<NewestOutcome>;
  join(options: {
    group: string;
    member: string;
    topic: string;
    ttlMs: number;
    generation: number;
  }): Promise<JoinOutcome>;
  leave(options: { group: string; member: string }): Promise<void>;
  /** Member by partition, or undefined if the store did not say. */
  owners(group: string): Promise<Map<number, string> | undefined>;
};

/** Order to start a task. */
export type StartRequest = {
  task: string;
  run: number;
  spec: string;
  /** End of the lease on the executor's clock. */
  leaseExpiryMs: number;
  fencingToken: number;
  checkpoint: string;
  ticket: string;
};

/** Outcome of a start. */
export type StartOutcome =
  | { type: "started"; clockMs: number }
  | {
    type: "refused";
    reason: "fence" | "old" | "late" | "room" | "ticket" | "unhealthy" | "bad";
    clockMs: number | undefined;
  }
  | { type: "replaced" }
  /** Provably not sent. */
  | { type: "notSent"; reason: string }
  | { type: "unknown"; reason: string };

/** Outcome of a stop or a change of pace. */
export type CommandOutcome =
  | { type: "done" }
  | { type: "fenced" }
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/** Run that an executor reports. */
export type RunReport = {
  task: string;
  run: number;
  checkpoint: string;
  progressPercent: number;
  /** Tail of response times in milliseconds, or thousandths of a core used. */
  load: number;
};

/** End of a run that an executor reports until it is confirmed. */
export type RunEnd = {
  sequence: number;
  task: string;
  run: number;
  result: "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";
  checkpoint: string;
};

/** Outcome of a look at an executor. */
export type PollOutcome =
  | {
    type: "polled";
    clockMs: number;
    startedAtMs: number | undefined;
    running: RunReport[];
    ended: RunEnd[];
  }
  | { type: "fenced" }
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/** Executor that a call is meant for. */
export type ExecutorTarget = { id: string; address: string };

/** Calls to executors. */
export type ExecutorClient = {
  start(target: ExecutorTarget, order: StartRequest): Promise<StartOutcome>;
  stop(
    target: ExecutorTarget,
    order: { task: string; run: number; fencingToken: number },
  ): Promise<CommandOutcome>;
  throttle(
    target: ExecutorTarget,
    order: {
      task: string;
      run: number;
      fencingToken: number;
      ratePercent: number;
    },
  ): Promise<CommandOutcome>;
  /** Renews the lease if `untilMs` is given, confirms ends, and looks. */
  poll(
    target: ExecutorTarget,
    order: {
      leaseExpiryMs?: number;
      fencingToken: number;
      acknowledgedSequence: number;
      waitMs: number;
    },
  ): Promise<PollOutcome>;
};

/** Outcome of an order for a machine. */
export type MachineOutcome =
  | { type: "done" }
  | { type: "refused"; reason: "fence" | "busy" | "wave" | "bad" }
  | { type: "unknown"; reason: string };

/** Holder of the machines, whose older terms the platform refuses. */
export type MachineLeaseHolder = { name: string; fencingToken: number };

/** Calls about machines. */
export type MachineClient = {
  list(): Promise<Machine[] | undefined>;
  move(
    order: { machine: string; pool: string },
    holder: MachineLeaseHolder,
  ): Promise<MachineOutcome>;
  upkeep(
    order: { machine: string; wave: number },
    holder: MachineLeaseHolder,
  ): Promise<MachineOutcome>;
  /** Tells operators the state of a wave; false if it is not stored yet. */
  announce(wave: number, state: "running" | "completed"): Promise<boolean>;
};

/** Service that says which executors may run a step. */
export type AdviceClient = {
  /** Ticket by executor, with its validity; undefined if it did not say. */
  requestTickets(
    step: string,
    executors: readonly string[],
  ): Promise<
    { tickets: Map<string, string>; validMs: number } | undefined
  >;
};
