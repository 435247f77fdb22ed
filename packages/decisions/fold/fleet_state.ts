/**
 * State of the fleet and its jobs that results from the records of the stream
 * `control`. It is encoded in checkpoints, so its field names are fixed.
 *
 * @module
 */

import { emptyObjectSet, type ObjectSet } from "@lagoonloom/objects";
import type { JobState, TeamUsage, WorkerState } from "./job_state.ts";
import type { RecentOutcome } from "./recent_outcome.ts";

/** Entry host that has joined and neither left nor been reported as lost. */
export type Member = {
  name: string;
  incarnation: string;
  dataCentre: string;
  peerAddress: string;
  operatorAddress: string;
  /** Only member that may report the loss of this one, if one is named. */
  watcher: string | undefined;
  /** Log time of its `member.joined` record in milliseconds. */
  joinedAtMs: number;
};

/** Lease of the process that plans for a data centre, the scope. */
export type Decider = {
  holder: string;
  incarnation: string;
  epoch: number;
  /** Log time in milliseconds at which the lease ends. */
  leaseEndMs: number;
};

/** Permission to take a host out of service. */
export type Permit = {
  purpose: "drain" | "reboot" | "move";
  wave: string | undefined;
  /** Target pool of a move. */
  to: string | undefined;
  reason: string;
  grantedAtMs: number;
  /** Log time at which the host was first observed down under the permit. */
  downSinceMs: number | undefined;
};

/** Started move of a host to another pool. */
export type Move = {
  to: string;
  step: "started" | "emptied";
  reason: string;
  startedAtMs: number;
};

/** Return of a permit, which ends a planned outage. */
export type PermitReturn = {
  atMs: number;
  outcome: "done" | "abandoned";
  wave: string | undefined;
  /**
   * Time in milliseconds from the first observation of the host as down until
   * the return, or 0 if there was none.
   */
  outMs: number;
};

/** Health of a host as last observed. */
export type HostHealth = "in-service" | "failed" | "silent";

/** State of a host of the object set in force. */
export type HostState = {
  /** Pool that owns the host. */
  owner: string;
  /**
   * Increases when a permit is returned, a move ends or the host is replaced.
   * Records that were written for an earlier generation are refused.
   */
  generation: number;
  health: HostHealth;
  /** Log time of the last change of health in milliseconds. */
  healthSinceMs: number;
  healthReason: string;
  permit: Permit | undefined;
  move: Move | undefined;
  /** Last return of a permit of the host. */
  lastReturn: PermitReturn | undefined;
  /**
   * Pool to which a later set assigned the host, until a move to it finishes.
   */
  wish: string | undefined;
  /** Log time of the last finished move, or 0. */
  movedAtMs: number;
};

/** Progress of a maintenance wave. */
export type WaveState = {
  state: "running" | "paused" | "finished";
  reason: string;
  sinceMs: number;
  /** Outcomes of hosts from before this log time do not pause the wave. */
  resumedAtMs: number;
  /** Log time at which each host completed its maintenance in this wave. */
  done: Map<string, number>;
};

/** Published change of the object set that took effect. */
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

/** State that results from folding the stream `control`. */
export type FleetState = {
  /** Offset of the next record to fold. */
  nextOffset: number;
  /** Log time of the last folded record in milliseconds. */
  timeMs: number;
  /** Version of the object set in force, or 0 before the first one. */
  setVersion: number;
  set: ObjectSet;
  /** Last published changes that took effect, oldest first. */
  history: HistoryEntry[];
  /** Number of joins, leaves and losses of members. */
  generation: number;
  members: Map<string, Member>;
  /** Ended incarnations by member, newest last, which cannot join again. */
  endedIncarnations: Map<string, string[]>;
  /** Deciders by scope. */
  deciders: Map<string, Decider>;
  hosts: Map<string, HostState>;
  /** Names of the hosts by the pool that owns them, derived from `hosts`. */
  hostsByPool: Map<string, Set<string>>;
  /** Number of open moves by target pool, derived from `hosts`. */
  incomingByPool: Map<string, number>;
  /** First generation of a host that is added to the set. */
  firstHostGeneration: number;
  waves: Map<string, WaveState>;
  jobs: Map<string, JobState>;
  /** Ids of ended jobs, oldest first; the oldest are removed. */
  endedJobs: string[];
  workers: Map<string, WorkerState>;
  /** Resources used by each team's running jobs, derived from `jobs`. */
  usageByTeam: Map<string, TeamUsage>;
  /** Outcomes of recent records by id, in the order of their offsets. */
  outcomes: Map<string, RecentOutcome>;
  /** Newest complete checkpoint, and the known chunks of an incomplete one. */
  checkpoint: {
    offset: number;
    pending: { offset: number; chunks: number; seen: number[] } | undefined;
  };
};

/**
 * Creates the state before the first record.
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
