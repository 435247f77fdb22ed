/**
 * Command `lagoonloomd`, which runs the daemon of an entry host.
 *
 * @module
 */

import { createEventLog } from "@lagoonloom/telemetry";
import { cac } from "cac";
import { readFileSync } from "node:fs";
import type { DaemonSettings } from "./settings.ts";
import { parseDaemonSettings } from "./settings.ts";
import { startDaemon } from "./start_daemon.ts";

/** Exit code for invalid settings. */
const EXIT_INVALID_SETTINGS = 2;

/** Runs the daemon until a signal; a second signal exits immediately. */
async function run(settings: DaemonSettings): Promise<void> {
  const running = await startDaemon(settings);
  let isStopping = false;
  const onSignal = (signal: NodeJS.Signals) => {
    if (isStopping) process.exit(1);
    isStopping = true;
    void running.stop(signal).then(() => process.exit(0));
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

/** Runs the daemon, or logs the problems if its settings are invalid. */
async function runFile(file: string): Promise<void> {
  const settings = parseDaemonSettings(readFileSync(file, "utf8"), { file });
  await settings.caseOf<Promise<void> | void>({
    Right: run,
    Left(problems) {
      const events = createEventLog();
      for (const problem of problems) {
        events.log("settingsRefused", { problem });
      }
      process.exitCode = EXIT_INVALID_SETTINGS;
    },
  });
}

async function main(): Promise<void> {
  const cli = cac("lagoonloomd");
  cli.command("<settings>", "Run the daemon of an entry host")
    .action(runFile);
  cli.help();
  try {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    process.exitCode ||= 1;
  }
}

await main();
