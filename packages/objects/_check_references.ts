/**
 * Checks of the names by which objects refer to each other, and of addresses.
 *
 * @module
 */

import { type FleetIndex, sortedEntries } from "./_fleet_index.ts";
import { KIND_WORDS, type ObjectKind, type ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Options for {@linkcode checkReferences}. */
export type CheckReferencesOptions = {
  /** Hosts in the order of their names. */
  hosts: FleetIndex["hosts"];
  /** Objects that are in the files but not in the set, as they are invalid. */
  invalid: { kind: ObjectKind; name: string }[];
};

/** Finds references to unknown objects, and lists with repeated names. */
export function checkReferences(
  set: ObjectSet,
  options: CheckReferencesOptions,
) {
  const problems: Problem[] = [];
  const invalid = new Set(
    options.invalid.map(({ kind, name }) => `${kind} ${name}`),
  );
  /** Returns a function that checks the references in a field of a kind. */
  const createReferenceCheck =
    (from: ObjectKind, field: string, to: ObjectKind) =>
    (name: string, target: string | undefined) => {
      if (target === undefined || Object.hasOwn(set[to], target)) return;
      if (invalid.has(`${to} ${target}`)) return;
      const message = `expected the name of a ${KIND_WORDS[to]}, ` +
        `found "${target}", which does not exist`;
      problems.push({ kind: from, name, field, message });
    };
  const hostPool = createReferenceCheck("hosts", "pool", "pools");
  for (const [name, { pool }] of options.hosts) hostPool(name, pool);
  const servicePool = createReferenceCheck("services", "pool", "pools");
  const serviceTeam = createReferenceCheck("services", "team", "teams");
  const overflow = createReferenceCheck("services", "overflow", "pools");
  for (const [name, service] of sortedEntries(set.services)) {
    servicePool(name, service.pool);
    serviceTeam(name, service.team);
    for (const pool of service.overflow) overflow(name, pool);
    const pools = [service.pool, ...service.overflow];
    for (const pool of findRepeated(pools)) {
      const message = "expected other pools than the home pool, each once, " +
        `found "${pool}"`;
      problems.push({ kind: "services", name, field: "overflow", message });
    }
  }
  const budgetService = createReferenceCheck("budgets", "service", "services");
  for (const [name, budget] of sortedEntries(set.budgets)) {
    budgetService(name, budget.service);
  }
  const wavePool = createReferenceCheck("waves", "pools", "pools");
  for (const [name, wave] of sortedEntries(set.waves)) {
    for (const pool of wave.pools) wavePool(name, pool);
    for (const pool of findRepeated(wave.pools)) {
      const message = `expected each pool once, found "${pool}" again`;
      problems.push({ kind: "waves", name, field: "pools", message });
    }
  }
  return problems;
}

function findRepeated(names: string[]) {
  return new Set(names.filter((name, i) => names.indexOf(name) !== i));
}

/**
 * Finds addresses that several hosts have: the same machine would be listed
 * twice and could belong to two pools.
 */
export function checkAddresses(set: ObjectSet, index: FleetIndex) {
  const problems: Problem[] = [];
  const hostsByAddress = new Map<string, string>();
  for (const [name, host] of index.hosts) {
    for (const field of ["address", "worker_address"] as const) {
      const address = host[field];
      if (address === undefined) continue;
      const key = canonicalAddress(address);
      const other = hostsByAddress.get(key);
      if (other === undefined) {
        hostsByAddress.set(key, name);
        continue;
      }
      const message = `expected an address of its own, found ${address}, ` +
        `which is also of host ${other} in pool ${set.hosts[other]!.pool}`;
      problems.push({ kind: "hosts", name, field, message });
    }
  }
  return problems;
}

/** Returns the canonical spelling of an address; IPv6 allows several. */
function canonicalAddress(address: string) {
  if (!address.startsWith("[")) return address;
  const url = URL.canParse(`ws://${address}`) && new URL(`ws://${address}`);
  return url ? `${url.hostname}:${url.port}` : address;
}
