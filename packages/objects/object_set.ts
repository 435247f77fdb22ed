/**
 * Object sets: the configuration that operators publish as a whole.
 *
 * @module
 */

import { z } from "zod";
import { Budget } from "./budget.ts";
import { Host } from "./host.ts";
import { Name } from "./name.ts";
import { Pool } from "./pool.ts";
import { Service } from "./service.ts";
import { Team } from "./team.ts";
import { Wave } from "./wave.ts";

/** Schema of an object set: objects by kind and name. */
export const ObjectSet = z.strictObject({
  pools: z.record(Name, Pool),
  hosts: z.record(Name, Host),
  services: z.record(Name, Service),
  budgets: z.record(Name, Budget),
  waves: z.record(Name, Wave),
  teams: z.record(Name, Team),
});

/** All objects that are in force together, under one version. */
export type ObjectSet = z.infer<typeof ObjectSet>;

/** Kinds of objects, as the keys of an {@linkcode ObjectSet}. */
export const OBJECT_KINDS = [
  "pools",
  "hosts",
  "services",
  "budgets",
  "waves",
  "teams",
] as const;

/** Kind of an object. */
export type ObjectKind = (typeof OBJECT_KINDS)[number];

/** Singular of each kind, as in the section title `[host NAME]`. */
export const KIND_WORDS = {
  pools: "pool",
  hosts: "host",
  services: "service",
  budgets: "budget",
  waves: "wave",
  teams: "team",
} as const satisfies Record<ObjectKind, string>;

/**
 * Returns a set without objects.
 *
 * @example
 * ```ts
 * const set = emptyObjectSet();
 * ```
 */
export function emptyObjectSet(): ObjectSet {
  return {
    pools: {},
    hosts: {},
    services: {},
    budgets: {},
    waves: {},
    teams: {},
  };
}
