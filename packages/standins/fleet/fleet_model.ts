import {
  applyRecord,
  emptyFleetState,
  type FleetState,
} from "@lagoonloom/decisions";
import type { ObjectSet } from "@lagoonloom/objects";
import {
  createInvariantChecker,
  type InvariantChecker,
} from "./invariant_checker.ts";
import {
  createModelDaemon,
  type ModelDaemon,
  type Planner,
  stepDaemon,
} from "./model_daemon.ts";
import {
  createModelHosts,
  type ModelHosts,
  type ModelHostsOptions,
  observeHosts,
  restartHost,
  stepHosts,
} from "./model_hosts.ts";
import { appendToLog, createModelLog, type ModelLog } from "./model_log.ts";

/** Fleet with its log, hosts, deciders and a checker of the invariants. */
export type FleetModel = {
  nowMs: number;
  log: ModelLog;
  hosts: ModelHosts;
  daemons: ModelDaemon[];
  planner: Planner;
  /** Fold of every record at the moment of its append. */
  referenceState: FleetState;
  checker: InvariantChecker;
  /** Restarts of hosts without an open permit. */
  restartsWithoutPermit: string[];
  /** Offsets at which a daemon folded another outcome. */
  disagreements: string[];
  /** Hosts that the host list wrongly shows as down. */
  falselySilent: Set<string>;
  /** Time until which the host list shows an old state, in milliseconds. */
  hostListStaleUntilMs: number;
  visibleHosts: ReturnType<typeof observeHosts>;
  /** Outcome that the truth folded at an offset, as JSON. */
  referenceOutcomes: Map<number, string>;
};

/** Options of {@linkcode createFleetModel}. */
export type FleetModelOptions = ModelHostsOptions & {
  set: ObjectSet;
  planner: Planner;
  daemons: readonly Pick<ModelDaemon, "name" | "dataCentre" | "scopes">[];
};

/**
 * Creates a fleet whose set is published as version 1.
 *
 * @example
 * ```ts
 * const model = createFleetModel({ set, planner, daemons, ...times });
 * ```
 */
export function createFleetModel(options: FleetModelOptions): FleetModel {
  const names = Object.keys(options.set.hosts);
  const model: FleetModel = {
    nowMs: 1_000,
    log: createModelLog(),
    hosts: createModelHosts(names, options),
    daemons: options.daemons.map(createModelDaemon),
    planner: options.planner,
    referenceState: emptyFleetState(),
    checker: createInvariantChecker(),
    restartsWithoutPermit: [],
    disagreements: [],
    falselySilent: new Set(),
    hostListStaleUntilMs: 0,
    visibleHosts: { contacts: new Map(), observations: new Map() },
    referenceOutcomes: new Map(),
  };
  model.log.onRecord = (record) => {
    const outcome = applyRecord(model.referenceState, record);
    model.referenceOutcomes.set(record.offset, JSON.stringify(outcome));
    model.checker.check(model.referenceState, record, outcome);
  };
  publish(model, { put: options.set, expectedVersion: 0, id: "first" });
  return model;
}

/** Options of {@linkcode publish}. */
export type PublishOptions = {
  put: Partial<ObjectSet>;
  expectedVersion: number;
  id: string;
};

/**
 * Publishes objects as an operator.
 *
 * @example
 * ```ts
 * publish(model, { put: { waves }, expectedVersion: 1, id: "publish-1" });
 * ```
 */
export function publish(
  model: FleetModel,
  { put, expectedVersion, id }: PublishOptions,
): void {
  const change = { put, removed: [] };
  const operator = "operator";
  const body = { type: "set.changed", expectedVersion, change, operator };
  appendToLog(model.log, { id, body }, model);
}

/**
 * Advances hosts and daemons by one step.
 *
 * @example
 * ```ts
 * stepFleet(model, { stepMs: 1_000 });
 * ```
 */
export function stepFleet(
  model: FleetModel,
  { stepMs }: { stepMs: number },
): void {
  model.nowMs += stepMs;
  const { nowMs } = model;
  stepHosts(model.hosts, {
    nowMs,
    isLeaving: (name) =>
      model.referenceState.hosts.get(name)?.permit !== undefined,
  });
  if (nowMs >= model.hostListStaleUntilMs) {
    model.visibleHosts = observeHosts(model.hosts, model);
    for (const name of model.falselySilent) {
      model.visibleHosts.contacts.set(name, { health: "silent", sinceMs: 0 });
    }
  }
  for (const daemon of model.daemons) {
    stepDaemon(daemon, {
      log: model.log,
      planner: model.planner,
      observe: () => model.visibleHosts,
      restart: (host) => restart(model, host),
      onFold: (_, offset, outcome) => {
        if (model.referenceOutcomes.get(offset) === outcome) return;
        model.disagreements.push(`${daemon.name} at ${offset}: ${outcome}`);
      },
    }, model);
  }
}

function restart(model: FleetModel, host: string): void {
  if (model.referenceState.hosts.get(host)?.permit === undefined) {
    model.restartsWithoutPermit.push(host);
  }
  restartHost(model.hosts, host, model);
}
