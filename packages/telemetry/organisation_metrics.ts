/**
 * Prometheus metrics of what organisations run against their caps.
 *
 * @module
 */

import { Gauge, type Registry } from "prom-client";
import { MAX_ORGANISATION_LABELS } from "./job_metrics.ts";
import { createLabelAllowlist } from "./label_allowlist.ts";

/** Amounts by resource. */
type Amounts = { cpu: number; memoryMb: number; accelerators: number };

/** What an organisation runs at the owners of a member. */
export type OrganisationUse = {
  /** What may be running. */
  mayRun: Amounts;
  /** What the owners may run without a higher limit. */
  limit: Amounts;
  /** What may run at all owners together; Infinity if there is no limit. */
  cap: Amounts;
};

const RESOURCES = ["cpu", "memoryMb", "accelerators"] as const;

/**
 * Adds metrics that are read when they are collected. Organisations beyond the
 * first 200 share the label `other`.
 *
 * @example
 * ```ts
 * addOrganisationMetrics(metrics.registry, () => member.organisationUse());
 * ```
 */
export function addOrganisationMetrics(
  registry: Registry,
  read: () => ReadonlyMap<string, OrganisationUse>,
): void {
  const organisations = createLabelAllowlist({
    maxValues: MAX_ORGANISATION_LABELS,
  });
  const add = (name: string, help: string, field: keyof OrganisationUse) => {
    new Gauge({
      name: `lagoonloom_organisation_${name}`,
      help,
      labelNames: ["organisation", "resource"] as const,
      registers: [registry],
      collect() {
        this.reset();
        const uses = read();
        organisations.allow(uses.keys());
        for (const [organisation, use] of uses) {
          const label = organisations.label(organisation);
          for (const resource of RESOURCES) {
            const amount = use[field][resource];
            if (amount === Infinity) continue;
            this.inc({ organisation: label, resource }, amount);
          }
        }
      },
    });
  };
  add(
    "may_run",
    "What tasks of an organisation may use at the owners of this member.",
    "mayRun",
  );
  add(
    "limit",
    "What they may use before the owners get a higher limit.",
    "limit",
  );
  add("cap", "What they may use at all owners together.", "cap");
}
