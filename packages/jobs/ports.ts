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
export type Partition = { topic: string; partition: number };

/** Outcome of a read; `gap` means that records were lost before `first`. */
export type ReadOutcome =
  | { type: "read"; records: StoredRecord[]; end: number }
  | { type: "gap" }
  | { type: "failed"; reason: string };

/** Newest record of each key; `end` is the offset to read on from. */
export type NewestOutcome =
  | { type: "read"; records: StoredRecord[]; end: number }
  | { type: "failed"; reason: string };

/** Outcome of a join: the partitions of the member at a generation. */
export type JoinOutcome =
  | { type: "member"; generation: number; partitions: number[] }
  | { type: "failed"; reason: string };

/** Store of the platform. */
export type Store = {
  append(
    place: Partition,
    options: {
      records: readonly KeyedRecord[];
      writer?: Writer;
      /** End that the partition must have. */
      expectedEnd?: number;
      timeoutMs: number;
    },
  ): Promise<AppendOutcome>;
  read(
    place: Partition,
    options: { from: number; waitMs: number },
  ): Promise<ReadOutcome>;
  readNewest(place: Partition): Promise<NewestOutcome>;
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
export type StartOrder = {
  task: string;
  run: number;
  spec: string;
  /** End of the lease on the executor's clock. */
  untilMs: number;
  token: number;
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
export type OrderOutcome =
  | { type: "done" }
  | { type: "fenced" }
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/** Run that an executor reports. */
export type RunReport = {
  task: string;
  run: number;
  checkpoint: string;
  percent: number;
  /** Tail of response times in milliseconds, or thousandths of a core used. */
  load: number;
};

/** End of a run that an executor reports until it is confirmed. */
export type EndReport = {
  number: number;
  task: string;
  run: number;
  how: "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";
  checkpoint: string;
};

/** Outcome of a look at an executor. */
export type HoldOutcome =
  | {
    type: "held";
    clockMs: number;
    bornMs: number | undefined;
    running: RunReport[];
    ended: EndReport[];
  }
  | { type: "fenced" }
  | { type: "replaced" }
  | { type: "unknown"; reason: string };

/** Executor that a call is meant for. */
export type Target = { id: string; address: string };

/** Calls to executors. */
export type Executors = {
  start(target: Target, order: StartOrder): Promise<StartOutcome>;
  stop(
    target: Target,
    order: { task: string; run: number; token: number },
  ): Promise<OrderOutcome>;
  pace(
    target: Target,
    order: { task: string; run: number; token: number; percent: number },
  ): Promise<OrderOutcome>;
  /** Renews the lease if `untilMs` is given, confirms ends, and looks. */
  hold(
    target: Target,
    order: {
      untilMs?: number;
      token: number;
      confirmed: number;
      waitMs: number;
    },
  ): Promise<HoldOutcome>;
};

/** Outcome of an order for a machine. */
export type MachineOutcome =
  | { type: "done" }
  | { type: "refused"; reason: "fence" | "busy" | "wave" | "bad" }
  | { type: "unknown"; reason: string };

/** Holder of the machines, whose older terms the platform refuses. */
export type MachineHolder = { name: string; token: number };

/** Calls about machines. */
export type Machines = {
  list(): Promise<Machine[] | undefined>;
  move(
    order: { machine: string; pool: string },
    holder: MachineHolder,
  ): Promise<MachineOutcome>;
  upkeep(
    order: { machine: string; wave: number },
    holder: MachineHolder,
  ): Promise<MachineOutcome>;
  /** Tells operators the state of a wave; false if it is not stored yet. */
  announce(wave: number, state: "running" | "completed"): Promise<boolean>;
};

/** Service that says which executors may run a step. */
export type Advice = {
  /** Ticket by executor, with its validity; undefined if it did not say. */
  ask(
    step: string,
    executors: readonly string[],
  ): Promise<
    { tickets: Map<string, string>; validMs: number } | undefined
  >;
};
