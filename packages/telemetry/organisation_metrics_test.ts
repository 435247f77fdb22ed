import { expect, test } from "@jest/globals";
import { Registry } from "prom-client";
import { MAX_ORGANISATION_LABELS } from "./job_metrics.ts";
import {
  addOrganisationMetrics,
  type OrganisationUse,
} from "./organisation_metrics.ts";

const USE: OrganisationUse = {
  mayRun: { cpu: 1_500, memoryMb: 20, accelerators: 0 },
  limit: { cpu: 2_000, memoryMb: Infinity, accelerators: Infinity },
  cap: { cpu: 9_000, memoryMb: Infinity, accelerators: Infinity },
};

test("addOrganisationMetrics shows use, limit and cap", async () => {
  const registry = new Registry();
  const uses = new Map([["northwind", USE]]);
  addOrganisationMetrics(registry, () => uses);
  const text = await registry.metrics();
  const labels = '{organisation="northwind",resource="cpu"}';
  expect(text).toContain(`lagoonloom_organisation_may_run${labels} 1500`);
  expect(text).toContain(`lagoonloom_organisation_limit${labels} 2000`);
  expect(text).toContain(`lagoonloom_organisation_cap${labels} 9000`);
  expect(text).not.toContain("Inf");
  // An owner that is gone must not leave its last values.
  uses.clear();
  expect(await registry.metrics()).not.toContain("northwind");
});

// Guards against time series without limit.
test("addOrganisationMetrics bounds the labels", async () => {
  const registry = new Registry();
  const names = Array.from({ length: 1_000 }, (_, index) => `o${index}`);
  addOrganisationMetrics(
    registry,
    () => new Map(names.map((name) => [name, USE])),
  );
  const text = await registry.metrics();
  const count = text.split("\n")
    .filter((line) => line.startsWith("lagoonloom_organisation_cap{")).length;
  expect(count).toBe(MAX_ORGANISATION_LABELS + 1);
  expect(text).toContain('organisation="other"');
});
