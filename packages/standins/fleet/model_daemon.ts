/**
 * Simulates a daemon that applies the records of a log and decides on the hosts
 * of some scopes, with crashes, pauses and loss of the log.
 *
 * @module
 */

import {
  applyRecord,
  type DeciderTerm,
  decodeCheckpoint,
  emptyFleetState,
  encodeCheckpoint,
  findRecordOutcome,
  type FleetState,
  getActiveTerm,
  type ObservedHealth,
  planDeciderClaim,
  type PlannedRecord,
  planObservations,
  planRecord,
  type WorkObservation,
} from "@lagoonloom/decisions";
import type { ControlRecord } from "@lagoonloom/records";
import { appendToLog, type ModelLog, readLog } from "./model_log.ts";

/** Input of a planner besides the fleet's state. */
export type PlannerInput = {
  /** Epoch in which this daemon decides on a scope. */
  term: DeciderTerm;
  nowMs: number;
  observations: ReadonlyMap<string, WorkObservation>;
};

/** Plans the next records and reboots of one scope. */
export type Planner = (
  state: FleetState,
  input: PlannerInput,
) => { records: PlannedRecord[]; reboots: string[] };

/** Action of a daemon. A crash or pause may prevent or delay it. */
type Action =
  | { type: "append"; record: PlannedRecord }
  | { type: "restart"; host: string; scope: string };

/** Simulated daemon and its faults. */
export type ModelDaemon = {
  name: string;
  dataCentre: string;
  /** Scopes that it may decide on. */
  scopes: readonly string[];
  /** State that results from the records applied so far. */
  state: FleetState;
  /** Number of the process; a restart after a crash increments it. */
  incarnation: number;
  /** Records of which it is unknown whether the log has stored them. */
  unconfirmedAppends: PlannedRecord[];
  /** Actions that are planned but not carried out yet. */
  pendingActions: Action[];
  isLogUnreachable: boolean;
  pausedUntilMs: number;
  crashedUntilMs: number;
  /** Crash or pause that begins after a number of further actions. */
  plannedFault: {
    afterActions: number;
    kind: "crash" | "pause";
    untilMs: number;
  } | undefined;
  /** Time in milliseconds that each planning round took. */
  planningTimesMs: number[];
};

/** Log, planner and hosts that a daemon works with. */
export type DaemonEnvironment = {
  log: ModelLog;
  planner: Planner;
  restart: (host: string) => void;
  /** Returns health and requests of the hosts as the daemon sees them. */
  observe: () => {
    healthByHost: Map<string, ObservedHealth>;
    observations: Map<string, WorkObservation>;
  };
  /** Called with the outcome, as JSON, of each record that is applied. */
  onOutcome?: (daemon: ModelDaemon, offset: number, outcome: string) => void;
};

/** Number of records after which a daemon writes the next checkpoint. */
const RECORDS_PER_CHECKPOINT = 200;

/**
 * Creates a daemon that has applied no records yet.
 *
 * @example
 * ```ts
 * const daemon = createModelDaemon({ name: "e1", dataCentre, scopes });
 * ```
 */
export function createModelDaemon(
  options: Pick<ModelDaemon, "name" | "dataCentre" | "scopes">,
): ModelDaemon {
  return {
    ...options,
    state: emptyFleetState(),
    incarnation: 1,
    unconfirmedAppends: [],
    pendingActions: [],
    isLogUnreachable: false,
    pausedUntilMs: 0,
    crashedUntilMs: 0,
    plannedFault: undefined,
    planningTimesMs: [],
  };
}

/**
 * Runs one round of a daemon: applies new records, plans, and carries out the
 * planned actions.
 *
 * @example
 * ```ts
 * stepDaemon(daemon, environment, { nowMs });
 * ```
 */
export function stepDaemon(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  { nowMs }: { nowMs: number },
): void {
  if (nowMs < daemon.crashedUntilMs || nowMs < daemon.pausedUntilMs) return;
  if (daemon.isLogUnreachable) return;
  if (daemon.crashedUntilMs > 0) restart(daemon);
  // Actions from before a pause are carried out late; applyRecord() must fence
  // the records among them.
  if (!runPendingActions(daemon, environment, nowMs)) return;
  if (!foldNewRecords(daemon, environment, nowMs)) return;
  retryUnconfirmed(daemon, environment, nowMs);
  if (!ensureMembership(daemon, environment, nowMs)) return;
  for (const scope of daemon.scopes) {
    planActions(daemon, environment, { scope, nowMs });
  }
  queueCheckpoint(daemon, nowMs);
  runPendingActions(daemon, environment, nowMs);
}

function restart(daemon: ModelDaemon): void {
  daemon.crashedUntilMs = 0;
  daemon.incarnation++;
  daemon.state = emptyFleetState();
  daemon.unconfirmedAppends = [];
  daemon.pendingActions = [];
}

/** Applies new records, after a checkpoint if the log dropped earlier ones. */
function foldNewRecords(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  nowMs: number,
): boolean {
  if (daemon.state.nextOffset < environment.log.firstOffset) {
    const allRecords = readLog(environment.log, 0, { nowMs });
    const loaded = allRecords === undefined
      ? undefined
      : loadCheckpoint(allRecords);
    if (loaded === undefined) return false;
    daemon.state = loaded;
  }
  const records = readLog(environment.log, daemon.state.nextOffset, { nowMs });
  for (const record of records ?? []) {
    const outcome = applyRecord(daemon.state, record);
    environment.onOutcome?.(daemon, record.offset, JSON.stringify(outcome));
    // Applies each record twice, as the log may deliver duplicates; the second
    // time must change nothing.
    applyRecord(daemon.state, record);
  }
  return records !== undefined;
}

function loadCheckpoint(
  records: readonly { body: unknown }[],
): FleetState | undefined {
  const chunks = new Map<number, string[]>();
  let newest: FleetState | undefined;
  for (const record of records) {
    const body = record.body as ControlRecord;
    if (body.type !== "checkpoint") continue;
    const parts = chunks.get(body.offset) ?? [];
    parts[body.chunk] = body.data;
    chunks.set(body.offset, parts);
    const isComplete = Object.keys(parts).length === body.chunks;
    if (isComplete && body.offset > (newest?.nextOffset ?? -1)) {
      newest = decodeCheckpoint(parts);
    }
  }
  return newest;
}

/** Appends unconfirmed records again unless the state contains them. */
function retryUnconfirmed(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  nowMs: number,
): void {
  const unconfirmed = daemon.unconfirmedAppends.filter(({ id }) =>
    findRecordOutcome(daemon.state, id) === undefined
  );
  daemon.unconfirmedAppends = [];
  for (const record of unconfirmed) {
    appendRecord(daemon, environment, { record, nowMs });
  }
}

function ensureMembership(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  nowMs: number,
): boolean {
  const { name, dataCentre, state } = daemon;
  const incarnation = `i${daemon.incarnation}`;
  if (state.members.get(name)?.incarnation === incarnation) return true;
  const record = planRecord(state, {
    type: "member.joined",
    member: name,
    incarnation,
    dataCentre,
    peerAddress: "127.0.0.1:1",
    operatorAddress: "127.0.0.1:2",
  });
  appendRecord(daemon, environment, { record, nowMs });
  return false;
}

type ScopeOptions = { scope: string; nowMs: number };

function createIdentity(daemon: ModelDaemon, { scope, nowMs }: ScopeOptions) {
  const incarnation = `i${daemon.incarnation}`;
  return { scope, holder: daemon.name, incarnation, nowMs };
}

function planActions(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  options: ScopeOptions,
): void {
  const { state } = daemon;
  const identity = createIdentity(daemon, options);
  const claim = planDeciderClaim(state, identity);
  if (claim !== undefined) {
    daemon.pendingActions.push({ type: "append", record: claim });
  }
  const term = getActiveTerm(state, identity);
  if (term === undefined) return;
  const { nowMs, scope } = options;
  const { healthByHost, observations } = environment.observe();
  const startedAtMs = performance.now();
  const observationRecords = planObservations(state, healthByHost, {
    term,
    nowMs,
  });
  const plan = environment.planner(state, { term, nowMs, observations });
  daemon.planningTimesMs.push(performance.now() - startedAtMs);
  for (const record of [...observationRecords, ...plan.records]) {
    daemon.pendingActions.push({ type: "append", record });
  }
  for (const host of plan.reboots) {
    daemon.pendingActions.push({ type: "restart", host, scope });
  }
}

function queueCheckpoint(daemon: ModelDaemon, nowMs: number): void {
  const { state } = daemon;
  const isDue =
    state.nextOffset - state.checkpoint.offset > RECORDS_PER_CHECKPOINT;
  if (
    !isDue || getActiveTerm(
        state,
        createIdentity(daemon, {
          scope: daemon.scopes[0] ?? "",
          nowMs,
        }),
      ) === undefined
  ) return;
  const chunks = encodeCheckpoint(state);
  for (const [chunk, data] of chunks.entries()) {
    const record = planRecord(state, {
      type: "checkpoint",
      offset: state.nextOffset,
      chunk,
      chunks: chunks.length,
      data,
    });
    daemon.pendingActions.push({ type: "append", record });
  }
}

/** Carries out pending actions; returns false if a crash or pause began. */
function runPendingActions(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  nowMs: number,
): boolean {
  while (daemon.pendingActions.length > 0) {
    if (
      daemon.plannedFault !== undefined &&
      daemon.plannedFault.afterActions-- <= 0
    ) {
      const { kind, untilMs } = daemon.plannedFault;
      daemon.plannedFault = undefined;
      if (kind === "crash") daemon.crashedUntilMs = untilMs;
      else daemon.pausedUntilMs = untilMs;
      return false;
    }
    const action = daemon.pendingActions.shift();
    if (action?.type === "append") {
      appendRecord(daemon, environment, { record: action.record, nowMs });
    } else if (action !== undefined) {
      const identity = createIdentity(daemon, { scope: action.scope, nowMs });
      // The log cannot fence a restart, so the lease is checked just before it.
      if (getActiveTerm(daemon.state, identity)) {
        environment.restart(action.host);
      }
    }
  }
  return true;
}

function appendRecord(
  daemon: ModelDaemon,
  environment: DaemonEnvironment,
  { record, nowMs }: { record: PlannedRecord; nowMs: number },
): void {
  const result = appendToLog(environment.log, record, { nowMs });
  if (result === "unknown") daemon.unconfirmedAppends.push(record);
}
