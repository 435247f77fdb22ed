/**
 * Example object sets for tests.
 *
 * @module
 */

import type { Host } from "./host.ts";
import { emptyObjectSet, type ObjectSet } from "./object_set.ts";

/** Numbers of objects for {@linkcode exampleSet}. */
export type ExampleSetOptions = { pools: number; hosts: number; teams: number };

/** Returns a valid set whose hosts are spread over three data centres. */
export function exampleSet(options: ExampleSetOptions): ObjectSet {
  const set = emptyObjectSet();
  const percent = { min_available_percent: 70 };
  for (let i = 0; i < options.pools; i++) {
    const pool = `pool-${i}`;
    set.pools[pool] = { spare: i === 0, min_hosts: 1 };
    set.services[`service-${i}`] = {
      pool,
      share_percent: 100,
      overflow: i === 0 ? [] : ["pool-0"],
      run_time_ms: 40,
      deadline_ms: 2_000,
      idempotent_posts: false,
    };
    set.budgets[`budget-${i}`] = { service: `service-${i}`, ...percent };
  }
  for (let i = 0; i < options.hosts; i++) {
    set.hosts[`host-${i}`] = exampleHost(i, `pool-${i % options.pools}`);
  }
  for (let i = 0; i < options.teams; i++) {
    set.teams[`team-${i}`] = {
      quota_cores: 16 * options.hosts / options.teams,
      quota_memory_gb: 10,
      quota_accelerators: 0,
    };
  }
  set.waves["kernel"] = {
    pools: Object.keys(set.pools),
    priority: "routine",
    outage_s: 900,
    finish_within_h: 504,
    state: "planned",
  };
  return set;
}

function exampleHost(i: number, pool: string): Host {
  return {
    pool,
    region: "great-lakes",
    data_centre: `dc-${i % 3}`,
    rack: `rack-${Math.floor(i / 12)}`,
    address: `10.0.${i >> 8}.${i & 255}:8080`,
    worker_address: `10.0.${i >> 8}.${i & 255}:9090`,
    slots: 8,
    connections: 64,
    cores: 16,
    memory_gb: 32,
    accelerators: 1,
    state: "in-service",
  };
}
