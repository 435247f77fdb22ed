import {
  applyRecord,
  type DeciderTerm,
  decodeCheckpoint,
  emptyFleetState,
  encodeCheckpoint,
  type FleetState,
  getActiveTerm,
  type ObservedHealth,
  planDeciderClaim,
  type PlannedRecord,
  planObservations,
  planRecord,
  recordOutcome,
  type WorkObservation,
} from "@lagoonloom/decisions";
import type { ControlRecord } from "@lagoonloom/records";
import { appendToLog, type ModelLog, readLog } from "./model_log.ts";

/** What a plan sees besides the folded state. */
export type PlannerInput = {
  term: DeciderTerm;
  nowMs: number;
  observations: ReadonlyMap<string, WorkObservation>;
};

/** Plans the next steps of one scope. */
export type Planner = (
  state: FleetState,
  context: PlannerInput,
) => { records: PlannedRecord[]; reboots: string[] };

/** Action of a daemon that a crash or pause may come before. */
type Action =
  | { type: "append"; record: PlannedRecord }
  | { type: "restart"; host: string; scope: string };

/** Decider in memory with its faults. */
export type ModelDaemon = {
  name: string;
  dataCentre: string;
  scopes: readonly string[];
  state: FleetState;
  incarnation: number;
  /** Records to append again, whose fate is unknown. */
  unconfirmedAppends: PlannedRecord[];
  /** Actions that were decided on before a pause. */
  pendingActions: Action[];
  isLogUnreachable: boolean;
  pausedUntilMs: number;
  crashedUntilMs: number;
  /** Stops after this number of actions: by a crash or a pause. */
  plannedFault: {
    afterActions: number;
    kind: "crash" | "pause";
    untilMs: number;
  } | undefined;
  /** Longest planning round in milliseconds. */
  planningTimesMs: number[];
};

/** What a daemon acts on. */
export type DaemonEnvironment = {
  log: ModelLog;
  planner: Planner;
  restart: (host: string) => void;
  observe: () => {
    contacts: Map<string, ObservedHealth>;
    observations: Map<string, WorkObservation>;
  };
  onFold?: (daemon: ModelDaemon, offset: number, outcome: string) => void;
};

/** Records between two checkpoints of the model. */
const CHECKPOINT_EVERY = 200;

/**
 * Creates a daemon without state.
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
 * Runs one round of a daemon: fold, then decide and act.
 *
 * @example
 * ```ts
 * stepDaemon(daemon, world, { nowMs });
 * ```
 */
export function stepDaemon(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
  { nowMs }: { nowMs: number },
): void {
  if (nowMs < daemon.crashedUntilMs || nowMs < daemon.pausedUntilMs) return;
  if (daemon.isLogUnreachable) return;
  if (daemon.crashedUntilMs > 0) restart(daemon);
  // What was decided before a pause is sent late; the fold has to fence it.
  if (!act(daemon, world, nowMs)) return;
  if (!fold(daemon, world, nowMs)) return;
  retry(daemon, world, nowMs);
  if (!join(daemon, world, nowMs)) return;
  for (const scope of daemon.scopes) decide(daemon, world, { scope, nowMs });
  checkpoint(daemon, nowMs);
  act(daemon, world, nowMs);
}

function restart(daemon: ModelDaemon): void {
  daemon.crashedUntilMs = 0;
  daemon.incarnation++;
  daemon.state = emptyFleetState();
  daemon.unconfirmedAppends = [];
  daemon.pendingActions = [];
}

/** Loads the newest checkpoint if needed and folds the tail. */
function fold(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
  nowMs: number,
): boolean {
  if (daemon.state.nextOffset < world.log.firstOffset) {
    const all = readLog(world.log, 0, { nowMs });
    const loaded = all === undefined ? undefined : loadCheckpoint(all);
    if (loaded === undefined) return false;
    daemon.state = loaded;
  }
  const tail = readLog(world.log, daemon.state.nextOffset, { nowMs });
  for (const record of tail ?? []) {
    const outcome = applyRecord(daemon.state, record);
    world.onFold?.(daemon, record.offset, JSON.stringify(outcome));
    // A second delivery of the same record changes nothing.
    applyRecord(daemon.state, record);
  }
  return tail !== undefined;
}

function loadCheckpoint(
  records: readonly { body: unknown }[],
): FleetState | undefined {
  const chunks = new Map<number, string[]>();
  let newest: FleetState | undefined;
  for (const record of records) {
    const body = record.body as ControlRecord;
    if (body.type !== "checkpoint") continue;
    const known = chunks.get(body.offset) ?? [];
    known[body.chunk] = body.data;
    chunks.set(body.offset, known);
    const isComplete = Object.keys(known).length === body.chunks;
    if (isComplete && body.offset > (newest?.nextOffset ?? -1)) {
      newest = decodeCheckpoint(known);
    }
  }
  return newest;
}

/** Looks an unknown append up in the folded tail before sending it again. */
function retry(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
  nowMs: number,
): void {
  const unknown = daemon.unconfirmedAppends.filter(({ id }) =>
    recordOutcome(daemon.state, id) === undefined
  );
  daemon.unconfirmedAppends = [];
  for (const record of unknown) send(daemon, world, { record, nowMs });
}

function join(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
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
  send(daemon, world, { record, nowMs });
  return false;
}

type DecideOptions = { scope: string; nowMs: number };

function identityOf(daemon: ModelDaemon, { scope, nowMs }: DecideOptions) {
  const incarnation = `i${daemon.incarnation}`;
  return { scope, holder: daemon.name, incarnation, nowMs };
}

function decide(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
  options: DecideOptions,
): void {
  const { state } = daemon;
  const identity = identityOf(daemon, options);
  const claim = planDeciderClaim(state, identity);
  if (claim !== undefined) {
    daemon.pendingActions.push({ type: "append", record: claim });
  }
  const term = getActiveTerm(state, identity);
  if (term === undefined) return;
  const { nowMs, scope } = options;
  const { contacts, observations } = world.observe();
  const startedAtMs = performance.now();
  const seen = planObservations(state, contacts, { term, nowMs });
  const plan = world.planner(state, { term, nowMs, observations });
  daemon.planningTimesMs.push(performance.now() - startedAtMs);
  for (const record of [...seen, ...plan.records]) {
    daemon.pendingActions.push({ type: "append", record });
  }
  for (const host of plan.reboots) {
    daemon.pendingActions.push({ type: "restart", host, scope });
  }
}

function checkpoint(daemon: ModelDaemon, nowMs: number): void {
  const { state } = daemon;
  const isDue = state.nextOffset - state.checkpoint.offset > CHECKPOINT_EVERY;
  if (
    !isDue || getActiveTerm(
        state,
        identityOf(daemon, {
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

/** Carries out the pending actions; false if a crash or pause came first. */
function act(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
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
      send(daemon, world, { record: action.record, nowMs });
    } else if (action !== undefined) {
      const identity = identityOf(daemon, { scope: action.scope, nowMs });
      // A restart cannot be fenced by the log, so the lease is checked last.
      if (getActiveTerm(daemon.state, identity)) world.restart(action.host);
    }
  }
  return true;
}

function send(
  daemon: ModelDaemon,
  world: DaemonEnvironment,
  { record, nowMs }: { record: PlannedRecord; nowMs: number },
): void {
  const result = appendToLog(world.log, record, { nowMs });
  if (result === "unknown") daemon.unconfirmedAppends.push(record);
}
