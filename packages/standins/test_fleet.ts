/**
 * Generates small object sets for tests.
 *
 * @module
 */

import { type Host, ObjectSet } from "@lagoonloom/objects";

/** Options of {@linkcode createTestFleet}. */
export type TestFleetOptions = {
  /** Names of the data centres; one by default. */
  dataCentres?: readonly string[];
  /** Number of hosts by pool, spread over the data centres in turn. */
  pools?: Readonly<Record<string, number>>;
  /** Returns the address of a host's executor by the index of the host. */
  addressOf?: (index: number) => string;
};

/**
 * Creates an object set with one service per pool and no budgets.
 *
 * @example
 * ```ts
 * const set = createTestFleet({ pools: { quoting: 6, backoffice: 6 } });
 * ```
 */
export function createTestFleet(options: TestFleetOptions = {}): ObjectSet {
  const dataCentres = options.dataCentres ?? ["detroit"];
  const pools = options.pools ?? { quoting: 2 };
  const addressOf = options.addressOf ??
    ((index: number) => `127.0.0.1:${20_000 + index}`);
  const hosts: Record<string, Partial<Host>> = {};
  let index = 0;
  for (const [pool, count] of Object.entries(pools)) {
    for (let number = 0; number < count; number++) {
      const dataCentre = dataCentres[number % dataCentres.length]!;
      hosts[`${pool}-${number + 1}`] = {
        pool,
        region: "great-lakes",
        data_centre: dataCentre,
        rack: `${dataCentre}-rack-${1 + Math.floor(index / 4)}`,
        address: addressOf(index),
        cores: 16,
        memory_gb: 32,
      };
      index++;
    }
  }
  const names = Object.keys(pools);
  return ObjectSet.parse({
    pools: Object.fromEntries(names.map((name) => [name, {}])),
    hosts,
    services: Object.fromEntries(
      names.map((name) => [name, { pool: name, run_time_ms: 5 }]),
    ),
    budgets: {},
    waves: {},
    teams: {},
  });
}
