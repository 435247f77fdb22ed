import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { exampleSet } from "./_fixtures.ts";
import { describeProblem } from "./file_problem.ts";
import { formatObjectSet } from "./format_object_set.ts";
import { checkObjectFiles, parseObjectSet } from "./parse_object_set.ts";

const SEED = { seed: 20_261, numRuns: 300 };

/** Text of a small valid set; the tests replace single lines of it. */
const VALID_SET = `[pool quoting]
min_hosts = 2
[pool orders]
[service quotes]
pool = quoting
run_time_ms = 40
share_percent = 60
[service orders]
pool = orders
overflow = quoting
run_time_ms = 80
[budget quotes]
service = quotes
min_available = 1
[wave kernel]
pools = quoting
outage_s = 600
[team archive]
quota_cores = 32
quota_memory_gb = 64
[host q1]
pool = quoting
region = great-lakes
data_centre = detroit
rack = d1
address = 127.0.0.1:21001
cores = 16
memory_gb = 32
[host q2]
pool = quoting
region = great-lakes
data_centre = cleveland
rack = c1
address = 127.0.0.1:21002
cores = 16
memory_gb = 32
`;

/**
 * Number of a line of the valid set, the text that replaces it, and the
 * expected problem after its line number. \\n stands for a line break.
 */
const INVALID_EDITS = String.raw`
2 | min_hosts = 3 | 2: [pool quoting] min_hosts: expected at most 2, the pool's number of hosts, found 3
5 | pool = quotng | 5: [service quotes] pool: expected the name of a pool, found "quotng", which does not exist
6 | run_time_ms = 5s | 6: [service quotes] run_time_ms: expected a number in milliseconds, without a unit, found "5s"; write 5000
6 | run_time_ms = -1 | 6: [service quotes] run_time_ms: expected more than 0, found -1
7 | team = nobody | 7: [service quotes] team: expected the name of a team, found "nobody", which does not exist
7 | overflow = quoting | 7: [service quotes] overflow: expected other pools than the home pool, each once, found "quoting"
7 | constructor = 3 | 7: [service quotes] constructor: expected one of pool, share_percent, overflow, team, run_time_ms, deadline_ms, idempotent_posts
7 | shares = 3 | 7: [service quotes] shares: expected one of pool, share_percent, overflow, team, run_time_ms, deadline_ms, idempotent_posts
7 | run_time_ms = 9 | 7: [service quotes]: expected the field run_time_ms once, found it at line 6 too
7 | overflow[] = orders | 7: [service quotes]: expected a field name of lower-case letters, digits and _
7 | overflow | 7: [service quotes]: expected a section or FIELD = VALUE
7 | idempotent_posts = maybe | 7: [service quotes] idempotent_posts: expected true or false, found "maybe"
9 | pool = quoting | 8: [service orders] share_percent: expected the shares of pool quoting to add up to at most 100 percent, found 160 (orders 100, quotes 60)
10 | overflow = quoting, spare | 10: [service orders] overflow: expected the name of a pool, found "spare", which does not exist
11 |  | 8: [service orders] run_time_ms: expected a number in milliseconds, without a unit, found none
13 | service = quote | 13: [budget quotes] service: expected the name of a service, found "quote", which does not exist
14 | min_available = 3 | 14: [budget quotes] min_available: expected at most 2, the number of hosts of pool quoting, found 3
14 | min_available_percent = 101 | 14: [budget quotes] min_available_percent: expected at most 100, found 101
14 |  | 12: [budget quotes]: expected min_available or min_available_percent
14 | min_available = 2 | 16: [wave kernel] pools: expected a budget that lets a host of pool quoting be out, found one that keeps all 2 in service
14 | min_available_percent = 60 | 16: [wave kernel] pools: expected a budget that lets a host of pool quoting be out, found one that keeps all 2 in service
16 | pools = | 16: [wave kernel] pools: expected at least 1 items, found ""
16 | pools = quoting, order | 16: [wave kernel] pools: expected the name of a pool, found "order", which does not exist
16 | pools = quoting, quoting | 16: [wave kernel] pools: expected each pool once, found "quoting" again
17 | outage_s = 72000\nfinish_within_h = 30 | 18: [wave kernel] finish_within_h: expected at least 40, since the budgets of pool quoting let its 2 hosts be out in no fewer than 2 batches of 72000 s, found 30
18 | [team archive | 18: [wave kernel]: expected a section or FIELD = VALUE
18 | [tem archive] | 18: [tem archive]: expected a section of pool, host, service, budget, wave, team
18 | [team Archive] | 18: [team Archive]: expected [team NAME] with a name of up to 63 lower-case letters, digits and hyphens
19 | quota_cores = 33 | 19: [team archive] quota_cores: expected the quotas of all teams to add up to at most 32, the fleet's cores, found 33 (archive 33)
20 | quota_memory_gb = 64.5 | 20: [team archive] quota_memory_gb: expected the quotas of all teams to add up to at most 64, the fleet's memory_gb, found 64.5 (archive 64.5)
19 | quota_cores = 0\nquota_accelerators = 1 | 20: [team archive] quota_accelerators: expected the quotas of all teams to add up to at most 0, the fleet's accelerators, found 1 (archive 1)
21 | [host q2] | 29: [host q2]: expected the section once, found it at 1.ini:21
26 | address = 127.0.0.1:99999 | 26: [host q1] address: expected an IP address and a port, such as 127.0.0.1:21001, found "127.0.0.1:99999"
28 | memory_gb = 32GB | 28: [host q1] memory_gb: expected a number in gigabytes, without a unit, found "32GB"; write 32
34 | address = 127.0.0.1:21001 | 34: [host q2] address: expected an address of its own, found 127.0.0.1:21001, which is also of host q1 in pool quoting
36 | memory_gb = 32\nstate = gone | 37: [host q2] state: expected in-service or leaving, found "gone"
`;

function problemsOf(...texts: string[]) {
  const files = texts.map((text, i) => ({ file: `${i + 1}.ini`, text }));
  return checkObjectFiles(files).swap().orDefault([]).map(describeProblem);
}

/** Returns the valid set with some lines replaced; the first line is 1. */
function validSetWith(edits: Record<number, string>) {
  return VALID_SET.split("\n").map((line, i) => edits[i + 1] ?? line).join(
    "\n",
  );
}

describe("checkObjectFiles()", () => {
  test("accepts the valid set in one file and in several files", () => {
    const lines = VALID_SET.split("\n");
    const parts = [lines.slice(0, 14), lines.slice(14)];
    expect(problemsOf(VALID_SET)).toEqual([]);
    expect(problemsOf(...parts.map((part) => part.join("\n")))).toEqual([]);
  });

  // Each row guards against accepting a set that cannot work, and against a
  // refusal that does not name the line of the mistake.
  test.each(
    INVALID_EDITS.trim().split("\n").map((row) => row.split(" | ")),
  )("finds the problem in line %s with %j", (line, text, problem) => {
    const edits = { [Number(line)]: text!.replace("\\n", "\n") };
    expect(problemsOf(validSetWith(edits))).toContain(`1.ini:${problem}`);
  });

  test("returns several problems at once, in the order of lines", () => {
    const text = validSetWith({
      5: "pool = quoting\noverflow = nothing",
      6: "run_time_ms = 5s",
      14: "min_available = 3",
      19: "quota_cores = 33",
      34: "address = 127.0.0.1:21001",
    });
    const places = problemsOf(text).map((line) => line.split(": ")[0]);
    const lines = [6, 7, 15, 20, 35];
    expect(places).toEqual(lines.map((line) => `1.ini:${line}`));
  });

  test("finds a section that is also in another file", () => {
    expect(problemsOf(VALID_SET, "\n[pool orders]\n")).toEqual([
      "2.ini:2: [pool orders]: expected the section once, found it at 1.ini:3",
    ]);
  });
});

describe("parseObjectSet()", () => {
  test("parses the output of formatObjectSet()", () => {
    const sizes = fc.record({
      pools: fc.integer({ min: 1, max: 5 }),
      hosts: fc.integer({ min: 0, max: 20 }),
      teams: fc.integer({ min: 0, max: 5 }),
      name: fc.stringMatching(/^[a-z0-9]([a-z0-9-]{0,20}[a-z0-9])?$/),
      cores: fc.double({ min: 1e-9, max: 1_024, noNaN: true }),
      address: fc.constantFrom("[::1]:80", "[fe80::1]:21001", "10.0.0.1:1"),
    });
    fc.assert(
      fc.property(sizes, ({ name, cores, address, ...size }) => {
        const set = exampleSet(size);
        const host = { ...exampleSet({ ...size, hosts: 1 }).hosts["host-0"]! };
        set.hosts[name] = { ...host, cores, address };
        const text = formatObjectSet(set);
        expect(parseObjectSet(text, { file: "a.ini" }).extract()).toEqual(set);
      }),
      SEED,
    );
  });

  // Guards against input that makes the parser throw, such as __proto__.
  test("returns a result for any text", () => {
    const piece = fc.oneof(
      fc.constantFrom(
        ..."[ ] = \n \r ; # \" ' \\ __proto__ constructor pool host".split(" "),
        "\n[pool a]\n",
        "\n[host __proto__]\n",
        "\nmin_hosts = ",
        "\u2028",
      ),
      fc.string({ unit: "binary" }),
    );
    const lines = fc.dictionary(fc.nat({ max: 37 }).map(String), piece);
    const text = fc.oneof(
      fc.array(piece, { maxLength: 30 }).map((pieces) => pieces.join("")),
      lines.map(validSetWith),
    );
    fc.assert(
      fc.property(text, (text) => {
        const result = checkObjectFiles([{ file: "a.ini", text }]);
        expect(result.isLeft() || result.isRight()).toBe(true);
      }),
      SEED,
    );
  });
});
