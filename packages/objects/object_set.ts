import { z } from "zod";
import { Budget } from "./budget.ts";
import { Host } from "./host.ts";
import { Name } from "./name.ts";
import { Pool } from "./pool.ts";
import { Service } from "./service.ts";
import { Team } from "./team.ts";
import { Wave } from "./wave.ts";

/** Schema of a whole set of named objects. */
export const ObjectSet = z.strictObject({
  pools: z.record(Name, Pool),
  hosts: z.record(Name, Host),
  services: z.record(Name, Service),
  budgets: z.record(Name, Budget),
  waves: z.record(Name, Wave),
  teams: z.record(Name, Team),
});

/** Whole set of named objects that operators publish. */
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

/** Word for one object of a kind, as in `[host NAME]`. */
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
