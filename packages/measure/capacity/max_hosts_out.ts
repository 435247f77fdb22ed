import { minAvailableHosts, type ObjectSet } from "@lagoonloom/objects";

/**
 * Returns the largest number of hosts of a pool that its budgets allow to be
 * out of service together while all others are healthy. It follows the rules of
 * docs/design.md with its own counts instead of those of the planner. It takes
 * each host from the rack with the most hosts left, so that the largest rack,
 * whose loss the budgets have to allow for, becomes as small as possible.
 *
 * @example
 * ```ts
 * const hosts = computeMaxHostsOut(set, "orders");
 * ```
 */
export function computeMaxHostsOut(set: ObjectSet, pool: string): number {
  const racks = new Map<string, number>();
  let total = 0;
  for (const host of Object.values(set.hosts)) {
    if (host.pool !== pool) continue;
    const rack = `${host.data_centre}/${host.rack}`;
    racks.set(rack, (racks.get(rack) ?? 0) + 1);
    total++;
  }
  const budgets = Object.values(set.budgets)
    .filter(({ service }) => set.services[service]?.pool === pool);
  const required = Math.max(
    0,
    ...budgets.map((budget) => minAvailableHosts(budget, total)),
  );
  const maxOutPerRack = Math.min(
    ...budgets.map((budget) => budget.max_out_per_rack ?? Infinity),
  );
  const sizes = [...racks.values()];
  const reservesRack = total - Math.max(0, ...sizes) > required;
  const rackStates = sizes.map((size) => ({ size, out: 0 }));
  for (let out = 0; out < total; out++) {
    const rack = rackStates
      .filter((rack) => rack.size > 0 && rack.out < maxOutPerRack)
      .sort((one, other) => other.size - one.size)[0];
    if (rack === undefined) return Math.max(1, out);
    rack.size--;
    rack.out++;
    const reservedHosts = reservesRack
      ? Math.max(...rackStates.map((it) => it.size))
      : 0;
    // Further hosts cannot help: each one lowers the reserved number by at most
    // one, and the number left by one.
    if (total - out - 1 - reservedHosts < required) return Math.max(1, out);
  }
  return Math.max(1, total);
}
