import { describe, expect, test } from "@jest/globals";
import { createConfiguration } from "../../_record_fixtures.ts";
import {
  createKeyedConfiguration,
  createOrganisation,
} from "./_key_fixtures.ts";
import {
  callerOf,
  isOrganisationGone,
  mayAccess,
  replacesOrganisation,
} from "./job_access.ts";

const KEYED = createKeyedConfiguration([
  createOrganisation("north"),
  createOrganisation("south"),
]);
const UNKEYED = createConfiguration();

describe("mayAccess", () => {
  // Guards against a key that shows or cancels a job of another organisation,
  // and against an answer that the own job does not exist (LOST).
  test.each([
    { job: "north", caller: "north", configuration: KEYED, expected: true },
    { job: "south", caller: "north", configuration: KEYED, expected: false },
    { job: "gone", caller: "north", configuration: KEYED, expected: false },
    { job: undefined, caller: "north", configuration: KEYED, expected: true },
    { job: "north", caller: undefined, configuration: UNKEYED, expected: true },
    { job: "north", caller: undefined, configuration: KEYED, expected: false },
    {
      job: "north",
      caller: undefined,
      configuration: KEYED,
      queue: "quotes",
      expected: true,
    },
  ])("decides about %j", (entry) => {
    const { job, caller, configuration, queue = "kiosk", expected } = entry;
    const access = mayAccess(
      { organisation: job, queue: "quotes" },
      callerOf(configuration, { queue: { name: queue }, organisation: caller }),
    );
    expect(access).toBe(expected);
  });
});

test("isOrganisationGone is true for one that was dropped or renamed", () => {
  const isGone = (organisation: string) =>
    isOrganisationGone({ organisation, queue: "quotes" }, KEYED);
  expect([isGone("north"), isGone("gone")]).toEqual([false, true]);
});

// Guards against a job that changes hands in the store.
test.each([
  { first: "north", repeat: "north", expected: false },
  { first: "north", repeat: "south", expected: true },
  { first: "north", repeat: undefined, expected: true },
  { first: undefined, repeat: "north", expected: false },
])("replacesOrganisation decides about %j", ({ first, repeat, expected }) => {
  const replaces = replacesOrganisation(
    { organisation: first, queue: "quotes" },
    { organisation: repeat, queue: "quotes" },
  );
  expect(replaces).toBe(expected);
});
