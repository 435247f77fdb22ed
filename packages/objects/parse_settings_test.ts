import { describe, expect, test } from "@jest/globals";
import { z } from "zod";
import { Address } from "./address.ts";
import { describeProblem } from "./file_problem.ts";
import { Name } from "./name.ts";
import { parseSettings } from "./parse_settings.ts";

const Settings = z.strictObject({
  operator: z.strictObject({ name: Name, key: z.string().min(16) }),
  daemons: z.strictObject({ addresses: z.array(Address).min(1) }),
  limits: z.strictObject({ timeout_ms: z.int().min(1).default(5_000) })
    .prefault({}),
  caller: z.record(Name, z.strictObject({ weight: z.number() })).default({}),
});

function parse(text: string) {
  return parseSettings(text, Settings, { file: "cli.ini" });
}

describe("parseSettings()", () => {
  test("parses sections with and without names and sets defaults", () => {
    const text =
      '[operator]\nname = ada\nkey = "0123456789;bcd#f"\n[caller shop]' +
      "\nweight = 2\n[daemons]\naddresses = 127.0.0.1:1, 127.0.0.1:2\n";
    expect(parse(text).extract()).toEqual({
      operator: { name: "ada", key: "0123456789;bcd#f" },
      daemons: { addresses: ["127.0.0.1:1", "127.0.0.1:2"] },
      limits: { timeout_ms: 5_000 },
      caller: { shop: { weight: 2 } },
    });
  });

  // Guards against keys in messages, and against problems without their line.
  test("returns every problem without the values of keys", () => {
    const text = "[operator]\nkey = secret\n[limits]\ntimeout_ms = 5s\n" +
      "[daemons]\naddresses = localhost\n[other]\n";
    const problems = parse(text).swap().orDefault([]).map(describeProblem);
    expect(problems).toEqual([
      "cli.ini:1: [operator] name: expected a text, found none",
      "cli.ini:2: [operator] key: expected at least 16 characters",
      `cli.ini:4: [limits] timeout_ms: expected a whole number in milliseconds, without a unit, found "5s"; write 5000`,
      `cli.ini:6: [daemons] addresses: expected an IP address and a port, such as 127.0.0.1:21001, found "localhost"`,
      "cli.ini:7: [other]: expected a section of operator, daemons, limits, caller",
    ]);
  });
});
