/**
 * Simulates a fleet in virtual time: its log, hosts and daemons, with a checker
 * that compares them with a reference state.
 *
 * @module
 */

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

/** Simulated fleet: log, hosts, daemons and a checker of the invariants. */
export type FleetModel = {
  nowMs: number;
  log: ModelLog;
  hosts: ModelHosts;
  daemons: ModelDaemon[];
  planner: Planner;
  /** State that results from applying each record as soon as it is appended. */
  referenceState: FleetState;
  checker: InvariantChecker;
  /** Hosts that were restarted without an open permit. */
  restartsWithoutPermit: string[];
  /** Records whose outcome on a daemon differs from the reference outcome. */
  disagreements: string[];
  /** Hosts that the daemons see as silent although they may be up. */
  falselySilent: Set<string>;
  /** Time in milliseconds until which the daemons' view is not updated. */
  hostListStaleUntilMs: number;
  /** Health and requests of the hosts as the daemons see them. */
  visibleHosts: ReturnType<typeof observeHosts>;
  /** Outcome of each record for the reference state, as JSON, by offset. */
  referenceOutcomes: Map<number, string>;
};

/** Options of {@linkcode createFleetModel}. */
export type FleetModelOptions = ModelHostsOptions & {
  set: ObjectSet;
  planner: Planner;
  daemons: readonly Pick<ModelDaemon, "name" | "dataCentre" | "scopes">[];
};

/**
 * Creates a fleet whose object set is published as version 1.
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
    visibleHosts: { healthByHost: new Map(), observations: new Map() },
    referenceOutcomes: new Map(),
  };
  model.log.onAppend = (record) => {
    const outcome = applyRecord(model.referenceState, record);
    model.referenceOutcomes.set(record.offset, JSON.stringify(outcome));
    model.checker.check(model.referenceState, record, outcome);
  };
  publish(model, { put: options.set, expectedVersion: 0, id: "first" });
  return model;
}

/** Options of {@linkcode publish}. */
export type PublishOptions = {
  /** Objects to add or replace. */
  put: Partial<ObjectSet>;
  /** Version of the set that the change is based on. */
  expectedVersion: number;
  /** Id of the record. */
  id: string;
};

/**
 * Appends a change of the object set as an operator would publish it.
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
 * Advances the hosts by one step and then runs a round of each daemon.
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
      model.visibleHosts.healthByHost.set(name, {
        health: "silent",
        sinceMs: 0,
      });
    }
  }
  for (const daemon of model.daemons) {
    stepDaemon(daemon, {
      log: model.log,
      planner: model.planner,
      observe: () => model.visibleHosts,
      restart: (host) => restart(model, host),
      onOutcome: (_, offset, outcome) => {
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
