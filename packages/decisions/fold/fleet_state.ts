import { emptyObjectSet, type ObjectSet } from "@lagoonloom/objects";
import type { JobState, TeamUsage, WorkerState } from "./job_state.ts";
import type { RecentOutcome } from "./record_outcome.ts";

/** Entry host that takes part, as the log knows it. */
export type Member = {
  name: string;
  incarnation: string;
  dataCentre: string;
  peerAddress: string;
  operatorAddress: string;
  /** Member that alone may report the loss of this one, if named. */
  watcher: string | undefined;
  /** Log time of its `member.joined` record in milliseconds. */
  joinedAtMs: number;
};

/** Holder of the decider role of a scope. */
export type Decider = {
  holder: string;
  incarnation: string;
  epoch: number;
  /** Log time in milliseconds at which the lease ends. */
  leaseEndMs: number;
};

/** Permission for a host to be out of service. */
export type Permit = {
  purpose: "drain" | "reboot" | "move";
  wave: string | undefined;
  /** Target pool of a move. */
  to: string | undefined;
  reason: string;
  grantedAtMs: number;
  /** Log time at which the host was first seen down under the permit. */
  downSinceMs: number | undefined;
};

/** Move of a host to another pool that has begun. */
export type Move = {
  to: string;
  step: "started" | "emptied";
  reason: string;
  startedAtMs: number;
};

/** End of the last permit of a host. */
export type PermitReturn = {
  atMs: number;
  outcome: "done" | "abandoned";
  wave: string | undefined;
  /** Time in milliseconds from the first sight of the host down. */
  outMs: number;
};

/** Health of a host as last observed. */
export type HostHealth = "in-service" | "failed" | "silent";

/** Host of the set in force, as the log knows it. */
export type HostState = {
  /** Pool that owns the host. */
  owner: string;
  /** Fences records that were written for an earlier state of the host. */
  generation: number;
  health: HostHealth;
  /** Log time of the last change of health in milliseconds. */
  healthSinceMs: number;
  healthReason: string;
  permit: Permit | undefined;
  move: Move | undefined;
  lastReturn: PermitReturn | undefined;
  /** Pool that a later set named; a wish for a move until it is finished. */
  wish: string | undefined;
  /** Log time of the last finished move; 0 before the first one. */
  movedAtMs: number;
};

/** Progress of a wave. */
export type WaveState = {
  state: "running" | "paused" | "finished";
  reason: string;
  sinceMs: number;
  /** Evidence from before this log time does not pause the wave. */
  resumedAtMs: number;
  /** Log time at which each host returned from this wave. */
  done: Map<string, number>;
};

/** Publication that took effect. */
export type HistoryEntry = {
  version: number;
  recordId: string;
  offset: number;
  timeMs: number;
  operator: string;
  /** Changed objects as `kind/name`. */
  put: string[];
  removed: string[];
};

/** Folded state of the stream `control`. */
export type FleetState = {
  /** Next offset to fold. */
  nextOffset: number;
  /** Log time of the last folded record in milliseconds. */
  timeMs: number;
  /** Version of the set in force; 0 before the first one. */
  setVersion: number;
  set: ObjectSet;
  /** Last publications that took effect, oldest first. */
  history: HistoryEntry[];
  /** Counts the changes of membership. */
  generation: number;
  members: Map<string, Member>;
  /** Incarnations that ended, newest last; they cannot join again. */
  endedIncarnations: Map<string, string[]>;
  deciders: Map<string, Decider>;
  hosts: Map<string, HostState>;
  /** Hosts by owner, derived from `hosts`. */
  hostsByPool: Map<string, Set<string>>;
  /** Open moves by target pool, derived from `hosts`. */
  incomingByPool: Map<string, number>;
  /** Generation at which a host that appears in the set begins. */
  firstHostGeneration: number;
  waves: Map<string, WaveState>;
  jobs: Map<string, JobState>;
  /** Jobs that ended, oldest first; the oldest are forgotten. */
  endedJobs: string[];
  workers: Map<string, WorkerState>;
  /** Charged sizes of each team's running jobs, derived from `jobs`. */
  usageByTeam: Map<string, TeamUsage>;
  /** Outcomes of recent records by id, in the order of their offsets. */
  outcomes: Map<string, RecentOutcome>;
  /** Newest complete checkpoint, and the chunks of one under way. */
  checkpoint: {
    offset: number;
    pending: { offset: number; chunks: number; seen: number[] } | undefined;
  };
};

/**
 * Returns the state before the first record.
 *
 * @example
 * ```ts
 * const state = emptyFleetState();
 * ```
 */
export function emptyFleetState(): FleetState {
  return {
    nextOffset: 0,
    timeMs: 0,
    setVersion: 0,
    set: emptyObjectSet(),
    history: [],
    generation: 0,
    members: new Map(),
    endedIncarnations: new Map(),
    deciders: new Map(),
    hosts: new Map(),
    hostsByPool: new Map(),
    incomingByPool: new Map(),
    firstHostGeneration: 0,
    waves: new Map(),
    jobs: new Map(),
    endedJobs: [],
    workers: new Map(),
    usageByTeam: new Map(),
    outcomes: new Map(),
    checkpoint: { offset: -1, pending: undefined },
  };
}
