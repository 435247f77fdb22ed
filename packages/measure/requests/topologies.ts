import {
  assignSlots,
  type Topology,
  type TopologyHost,
  type TopologyPool,
} from "@lagoonloom/decisions";
import { type Deployment, SLOTS_PER_EXECUTOR } from "./deployment.ts";

/** Executor with its data centre. */
export type Executor = { name: string; pool: string; dataCentre: number };

/** Slot that an entry host may use. */
export type SlotOwner = (
  executor: Executor,
  slot: number,
) => number | undefined;

/**
 * Returns the executors, spread over the data centres in turn.
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
 * Returns the data centre of an entry host.
 *
 * @example
 * ```ts
 * locateMember(LAKESHORE, 4); // 1
 * ```
 */
export function locateMember(deployment: Deployment, member: number): number {
  return member % deployment.dataCentres;
}

/**
 * Returns the owners of slots as the entry hosts compute them.
 *
 * @example
 * ```ts
 * const owner = spreadSlots(LAKESHORE);
 * ```
 */
export function spreadSlots(deployment: Deployment): SlotOwner {
  const members = Array.from(
    { length: deployment.entryHosts },
    (_, member) => ({
      name: String(member),
      dataCentre: String(locateMember(deployment, member)),
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
  member: number;
  owner: SlotOwner;
  /** Whether services may use the pools of others. */
  isLending: boolean;
  leaving?: ReadonlySet<string>;
};

/**
 * Returns what one entry host works on.
 *
 * @example
 * ```ts
 * const options = { member: 0, owner, isLending: true };
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
          .filter((slot) => options.owner(executor, slot) === options.member),
        isLeaving: options.leaving?.has(executor.name) ?? false,
      }))
      .filter((host) => host.slots.length > 0),
  }));
  const names = [
    deployment.spare,
    ...deployment.desks.map((desk) => desk.name),
  ];
  const services = deployment.desks.map((desk) => ({
    name: desk.name,
    pool: desk.name,
    sharePercent: 100,
    overflow: options.isLending
      ? [...new Set(names)].filter((name) => name !== desk.name)
      : [],
    runTimeMs: desk.declaredRunTimeMs ?? desk.runTimeMs,
  }));
  return { pools, services };
}
