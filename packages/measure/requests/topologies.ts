/**
 * Executors, slots and topologies of the simulated deployments.
 *
 * @module
 */

import {
  assignSlots,
  type Topology,
  type TopologyHost,
  type TopologyPool,
} from "@lagoonloom/decisions";
import { type Deployment, SLOTS_PER_EXECUTOR } from "./deployment.ts";

/** Executor with its pool and the index of its data centre. */
export type Executor = { name: string; pool: string; dataCentre: number };

/** Returns the index of the entry host that owns a slot, if one does. */
export type SlotOwnerLookup = (
  executor: Executor,
  slot: number,
) => number | undefined;

/**
 * Returns the executors of a deployment. Those of a pool are spread evenly over
 * the data centres.
 *
 * @example
 * ```ts
 * const executors = listExecutors(LAKESHORE);
 * ```
 */
export function listExecutors(deployment: Deployment): Executor[] {
  return deployment.desks.flatMap((desk) =>
    Array.from({ length: desk.executors }, (_, index) => ({
      name: `${desk.name}-${index}`,
      pool: desk.name,
      dataCentre: index % deployment.dataCentres,
    }))
  );
}

/**
 * Returns the index of the data centre of an entry host.
 *
 * @example
 * ```ts
 * findDataCentre(LAKESHORE, 4); // 1
 * ```
 */
export function findDataCentre(deployment: Deployment, member: number): number {
  return member % deployment.dataCentres;
}

/**
 * Returns a lookup of the slot owners that the entry hosts compute.
 *
 * @example
 * ```ts
 * const findOwner = createSlotOwnerLookup(LAKESHORE);
 * ```
 */
export function createSlotOwnerLookup(deployment: Deployment): SlotOwnerLookup {
  const members = Array.from(
    { length: deployment.entryHosts },
    (_, member) => ({
      name: String(member),
      dataCentre: String(findDataCentre(deployment, member)),
    }),
  );
  const hosts = listExecutors(deployment).map(({ name, dataCentre }) => ({
    name,
    dataCentre: String(dataCentre),
    slots: SLOTS_PER_EXECUTOR,
  }));
  const assignment = assignSlots({ hosts, members });
  return ({ name }, slot) => Number(assignment.get(name)![slot]);
}

/** Options of {@linkcode createTopology}. */
export type TopologyOptions = {
  /** Index of the entry host. */
  member: number;
  findOwner: SlotOwnerLookup;
  /** Whether services may borrow slots of other pools. */
  mayBorrow: boolean;
  /** Names of the executors that are leaving. */
  leaving?: ReadonlySet<string>;
};

/**
 * Returns the topology with which the scheduler of one entry host works.
 *
 * @example
 * ```ts
 * const options = { member: 0, findOwner, mayBorrow: true };
 * const topology = createTopology(LAKESHORE, options);
 * ```
 */
export function createTopology(
  deployment: Deployment,
  options: TopologyOptions,
): Topology {
  const executors = listExecutors(deployment);
  const pools = deployment.desks.map((desk): TopologyPool => ({
    name: desk.name,
    size: desk.executors,
    hosts: executors
      .filter((executor) => executor.pool === desk.name)
      .map((executor): TopologyHost => ({
        name: executor.name,
        slots: Array.from({ length: SLOTS_PER_EXECUTOR }, (_, slot) => slot)
          .filter((slot) =>
            options.findOwner(executor, slot) === options.member
          ),
        isLeaving: options.leaving?.has(executor.name) ?? false,
      }))
      .filter((host) => host.slots.length > 0),
  }));
  const names = [
    deployment.sparePool,
    ...deployment.desks.map((desk) => desk.name),
  ];
  const services = deployment.desks.map((desk) => ({
    name: desk.name,
    pool: desk.name,
    sharePercent: 100,
    overflow: options.mayBorrow
      ? [...new Set(names)].filter((name) => name !== desk.name)
      : [],
    runTimeMs: desk.declaredRunTimeMs ?? desk.runTimeMs,
  }));
  return { pools, services };
}
