/**
 * Caps of organisations, as the newest configuration gives them.
 *
 * @module
 */

import type { Configuration } from "../../fleet.ts";
import type { Size } from "../../submission.ts";
import { largerOf, NOTHING, RESOURCES, sizeOf } from "./_amounts.ts";

/** Most organisations without an entry whose last caps are remembered. */
const MAX_DROPPED = 1_000;

/** Caps of the organisations that have one. */
export type OrganisationCaps = {
  /** Returns whether any organisation has a cap. */
  hasCaps(): boolean;
  /**
   * Returns the cap of an organisation, with Infinity for a resource without
   * limit; undefined if it has no limit at all.
   */
  capOf(organisation: string): Size | undefined;
  /** Returns the caps of all organisations that have one, by name. */
  all(): ReadonlyMap<string, Size>;
  /**
   * Returns the highest cap that an organisation has had: limits that were
   * granted under it may still be in use.
   */
  highestOf(organisation: string): Size;
};

/**
 * Follows the caps of organisations. One that a newer configuration has dropped
 * keeps its last cap, as its accepted jobs go on.
 *
 * @example
 * ```ts
 * const caps = createOrganisationCaps(() => newestConfiguration);
 * caps.capOf("northwind");
 * ```
 */
export function createOrganisationCaps(
  configuration: () => Configuration | undefined,
): OrganisationCaps {
  let known: Configuration["organisations"];
  let caps: ReadonlyMap<string, Size> = new Map();
  const highest = new Map<string, Size>();

  const update = (): ReadonlyMap<string, Size> => {
    const organisations = configuration()?.organisations;
    // Without a configuration, the last one that was known goes on.
    if (organisations === undefined || organisations === known) return caps;
    known = organisations;
    const listed = new Set(organisations.map(({ name }) => name));
    const dropped = [...caps].filter(([name]) => !listed.has(name));
    const next = new Map(dropped.slice(-MAX_DROPPED));
    for (const { name, cap } of organisations) {
      const limit = limitOf(cap);
      if (RESOURCES.some((it) => limit[it] < Infinity)) next.set(name, limit);
    }
    caps = next;
    for (const [name, cap] of caps) {
      highest.set(name, largerOf(cap, highest.get(name) ?? NOTHING));
    }
    for (const name of highest.keys()) {
      if (!caps.has(name)) highest.delete(name);
    }
    return caps;
  };

  return {
    hasCaps: () => update().size > 0,
    capOf: (organisation) => update().get(organisation),
    all: update,
    highestOf(organisation) {
      update();
      return highest.get(organisation) ?? NOTHING;
    },
  };
}

/** Returns a cap with Infinity in place of 0, which stands for no limit. */
function limitOf(cap: Size): Size {
  return sizeOf((resource) => cap[resource] > 0 ? cap[resource] : Infinity);
}
