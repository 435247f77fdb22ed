import { minAvailableHosts, type ObjectSet } from "@lagoonloom/objects";

/**
 * Returns the most hosts of a pool that its budgets let out together when all
 * are healthy, by the rules of the design page and with counts of its own: for
 * each number it takes hosts from the racks with most hosts left, which is the
 * choice that leaves the smallest largest rack.
 *
 * @example
 * ```ts
 * const width = mostHostsOut(set, "orders");
 * ```
 */
export function mostHostsOut(set: ObjectSet, pool: string): number {
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
  const perRack = Math.min(
    ...budgets.map((budget) => budget.max_out_per_rack ?? Infinity),
  );
  const sizes = [...racks.values()];
  const reserves = total - Math.max(0, ...sizes) > required;
  const left = sizes.map((size) => ({ size, out: 0 }));
  for (let out = 0; out < total; out++) {
    const open = left.filter((rack) => rack.size > 0 && rack.out < perRack)
      .sort((one, other) => other.size - one.size)[0];
    if (open === undefined) return Math.max(1, out);
    open.size--;
    open.out++;
    const reserve = reserves ? Math.max(...left.map((it) => it.size)) : 0;
    // A later host can only shrink the reserve by one, as it shrinks the rest.
    if (total - out - 1 - reserve < required) return Math.max(1, out);
  }
  return Math.max(1, total);
}
