import { CliSettings } from "@lagoonloom/cli";
import { parseDaemonSettings } from "@lagoonloom/daemon";
import {
  checkObjectFiles,
  formatObjectSet,
  parseObjectSet,
  parseSettings,
} from "@lagoonloom/objects";
import { createTestFleet } from "@lagoonloom/standins";
import fc from "fast-check";
import { isDeepStrictEqual } from "node:util";
import type { FuzzProperty } from "./fuzz_property.ts";
import { editedTexts } from "./hostile_text.ts";

const KEY = "sixteen-characters";

/** Settings of a daemon that are valid. */
export const DAEMON_SETTINGS = `[daemon]
name = detroit-1
region = great-lakes
data_centre = detroit
[callers]
address = 127.0.0.1:24001
[operators]
address = 127.0.0.1:24002
[peers]
address = 127.0.0.1:24004
key = ${KEY}
seeds = 127.0.0.1:24005
[platform]
log = 127.0.0.1:24003
[operator ada]
key = ${KEY}
[bounds]
publish_ms = 3000
`;

const CLI = `[operator]
name = ada
key = ${KEY}
[daemons]
addresses = 127.0.0.1:24002, 127.0.0.1:24012
[requests]
timeout_ms = 5000
`;

/** Properties of the files that operators write. */
export const TEXT_PROPERTIES: readonly FuzzProperty[] = [
  {
    // A set that is accepted is the same set after it is printed and read.
    name: "sets",
    async check(run) {
      const texts = editedTexts(formatObjectSet(createTestFleet()));
      fc.assert(
        fc.property(texts, (text) => {
          checkObjectFiles([{ file: "a.ini", text }]).ifRight((set) => {
            const again = parseObjectSet(formatObjectSet(set), {
              file: "a.ini",
            });
            if (!isDeepStrictEqual(again.extract(), set)) {
              throw new Error("The set differs after it was printed.");
            }
          });
        }),
        run,
      );
    },
  },
  {
    // Settings are parsed or refused with a line for each problem.
    name: "settings",
    async check(run) {
      const file = "a.ini";
      fc.assert(
        fc.property(
          editedTexts(DAEMON_SETTINGS),
          editedTexts(CLI),
          (daemon, cli) => {
            parseDaemonSettings(daemon, { file }).ifLeft(expectProblems);
            parseSettings(cli, CliSettings, { file }).ifLeft(expectProblems);
          },
        ),
        run,
      );
    },
  },
];

function expectProblems(problems: readonly unknown[]): void {
  if (problems.length === 0) throw new Error("Refused without a problem.");
}
