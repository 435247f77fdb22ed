import { describe, expect, test } from "@jest/globals";
import { createConfiguration } from "../../_record_fixtures.ts";
import {
  createKeyedConfiguration,
  createOrganisation,
} from "./_key_fixtures.ts";
import { authorizeCall, type Call } from "./authorize_call.ts";

const LONG_KEY = "k".repeat(65_536);

const ORGANISATIONS = [
  createOrganisation("north", ["n1", "n2", "shared", LONG_KEY]),
  createOrganisation("south", ["s1", "shared", ""]),
  createOrganisation("keyless"),
  createOrganisation("twice", ["t1"]),
  createOrganisation("twice", ["t1", "t2"]),
  createOrganisation("constructor", ["__proto__"]),
];

const [QUEUE] = createConfiguration().queues;
const [PUBLIC_QUEUE] = createConfiguration({ isPublic: true }).queues;

function createCall(fields: Partial<Call>): Call {
  return {
    queue: QUEUE!,
    key: "",
    configurationAgeMs: () => 0,
    maxRevocationMs: 5_000,
    ...fields,
  };
}

describe("authorizeCall", () => {
  // Guards against calls with unknown keys that run (ROUTE), and against the
  // rights of another organisation.
  test.each([
    { what: "a key", key: "n1", expected: "north" },
    { what: "another key of it", key: "n2", expected: "north" },
    { what: "a key of 64 KB", key: LONG_KEY, expected: "north" },
    {
      what: "a key that one organisation names twice",
      key: "t1",
      expected: "twice",
    },
    {
      what: "the name of a property",
      key: "__proto__",
      expected: "constructor",
    },
    { what: "no key", key: "", expected: undefined },
    {
      what: "a key that two organisations hold",
      key: "shared",
      expected: undefined,
    },
    { what: "an unknown key", key: "n3", expected: undefined },
    { what: "the name of an organisation", key: "north", expected: undefined },
    { what: "a key in another case", key: "N1", expected: undefined },
    { what: "the header sent twice", key: "n1, n1", expected: undefined },
    { what: "two organisations' keys", key: "n1, s1", expected: undefined },
    {
      what: "an unknown key of 64 KB",
      key: "x".repeat(65_536),
      expected: undefined,
    },
    { what: "other characters", key: "n1\u0000", expected: undefined },
    { what: "wide characters", key: "ｎ1", expected: undefined },
    { what: "an inherited property", key: "constructor", expected: undefined },
  ])("decides about $what", ({ key, expected }) => {
    const configuration = createKeyedConfiguration(ORGANISATIONS);
    const decision = authorizeCall(configuration, createCall({ key }));
    expect(decision).toEqual(
      expected === undefined
        ? { type: "unknownKey" }
        : { type: "allowed", organisation: expected },
    );
  });

  // Guards against keys that are served long after they were taken away
  // (CONFIG), and against refusals of calls that need no key.
  test.each([
    { what: "a current one", ageMs: 4_800, expected: "allowed" },
    { what: "an old one", ageMs: 4_950, expected: "outdated" },
    {
      what: "an old one and an unknown key",
      ageMs: 4_950,
      key: "x",
      expected: "outdated",
    },
    { what: "one of unknown age", ageMs: Infinity, expected: "outdated" },
    {
      what: "an old one without a promise",
      ageMs: Infinity,
      maxRevocationMs: undefined,
      expected: "allowed",
    },
    {
      what: "an old one and a public queue",
      ageMs: Infinity,
      key: "x",
      queue: PUBLIC_QUEUE!,
      expected: "allowed",
    },
  ])("decides by $what", ({ ageMs, expected, ...fields }) => {
    const configuration = createKeyedConfiguration(ORGANISATIONS);
    const call = createCall({
      key: "n1",
      configurationAgeMs: () => ageMs,
      ...fields,
    });
    expect(authorizeCall(configuration, call).type).toBe(expected);
  });

  // Guards against a change for deployments without organisations.
  test("asks for neither key nor age without organisations", () => {
    const call = createCall({
      configurationAgeMs: () => {
        throw new Error("The age was determined.");
      },
    });
    expect(authorizeCall(createConfiguration(), call))
      .toEqual({ type: "allowed", organisation: undefined });
  });

  // Guards against an index that outlives its configuration.
  test("follows a key that is taken away and added again", () => {
    const configurations = [["n1"], [], ["n1"], ["n2"]].map((keys, index) =>
      createKeyedConfiguration([createOrganisation("north", keys)], index)
    );
    const decisions = configurations.map((configuration) =>
      authorizeCall(configuration, createCall({ key: "n1" })).type
    );
    expect(decisions)
      .toEqual(["allowed", "unknownKey", "allowed", "unknownKey"]);
  });
});
