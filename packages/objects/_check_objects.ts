/**
 * All checks of an object set, in a fixed order of problems.
 *
 * @module
 */

import { checkBudgets, checkPools, checkWaves } from "./_check_capacity.ts";
import { checkAddresses, checkReferences } from "./_check_references.ts";
import { checkQuotas, checkShares } from "./_check_totals.ts";
import { createFleetIndex } from "./_fleet_index.ts";
import { OBJECT_KINDS, type ObjectKind, type ObjectSet } from "./object_set.ts";
import type { Problem } from "./problem.ts";

/** Options for {@linkcode checkObjects}. */
export type CheckObjectsOptions = {
  /** Objects that are in the files but not in the set, as they are invalid. */
  invalid: { kind: ObjectKind; name: string }[];
};

/**
 * Checks that the objects of a set are consistent. References to invalid
 * objects are accepted, and checks that need the number of hosts are skipped if
 * a host is invalid, so that one mistake does not cause further problems.
 */
export function checkObjects(set: ObjectSet, options: CheckObjectsOptions) {
  const index = createFleetIndex(set);
  const { hosts } = index;
  const problems: Problem[] = [
    ...checkReferences(set, { hosts, invalid: options.invalid }),
    ...checkAddresses(set, index),
    ...checkShares(set),
  ];
  if (!options.invalid.some(({ kind }) => kind === "hosts")) {
    problems.push(
      ...checkPools(set, index),
      ...checkBudgets(set, index),
      ...checkWaves(set, index),
      ...checkQuotas(set, index),
    );
  }
  const rank = (problem: Problem) => OBJECT_KINDS.indexOf(problem.kind);
  return problems.sort((a, b) =>
    rank(a) - rank(b) || compare(a.name, b.name) ||
    compare(a.field ?? "", b.field ?? "") || compare(a.message, b.message)
  );
}

function compare(a: string, b: string) {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
