/**
 * Fuzz properties of the files that operators write.
 *
 * @module
 */

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
import { mutatedTexts } from "./mutated_input.ts";

const KEY = "sixteen-characters";

/** Valid settings of a daemon. */
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
    // A valid set stays the same when it is printed and parsed again.
    name: "sets",
    async check(run) {
      const texts = mutatedTexts(formatObjectSet(createTestFleet()));
      fc.assert(
        fc.property(texts, (text) => {
          checkObjectFiles([{ file: "a.ini", text }]).ifRight((set) => {
            const again = parseObjectSet(formatObjectSet(set), {
              file: "a.ini",
            });
            if (!isDeepStrictEqual(again.extract(), set)) {
              throw new Error(
                "The set changed when it was printed and parsed.",
              );
            }
          });
        }),
        run,
      );
    },
  },
  {
    // Settings are either parsed or refused with at least one problem.
    name: "settings",
    async check(run) {
      const file = "a.ini";
      fc.assert(
        fc.property(
          mutatedTexts(DAEMON_SETTINGS),
          mutatedTexts(CLI),
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
  if (problems.length === 0) {
    throw new Error("The settings were refused without a problem.");
  }
}
