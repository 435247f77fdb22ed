/**
 * Program that serves stand-ins of the platform, executors, workers and a load
 * balancer until it gets SIGTERM or SIGINT.
 *
 * @module
 */

import { parseObjectSet, splitAddress } from "@lagoonloom/objects";
import { cac } from "cac";
import { readFileSync } from "node:fs";
import type { Standin } from "./_http.ts";
import {
  createLogStore,
  type ExecutorStandin,
  serveBalancer,
  serveExecutor,
  serveHostList,
  serveLog,
  serveWorker,
} from "./mod.ts";

type Options = {
  log?: string;
  retentionMs?: number;
  hosts?: string;
  hostsLagMs?: number;
  set?: string;
  rebootMs?: number;
  executors?: string;
  executorCount?: number;
  runMs?: number;
  workers?: string;
  workerCount?: number;
  reportLagMs?: number;
  balancer?: string;
  backends?: string;
};

/** Starts `count` stand-ins on consecutive ports. */
function serveOnConsecutivePorts(
  first: string,
  count: number,
  serve: (address: string, index: number) => Promise<Standin>,
): Promise<Standin>[] {
  const { host, port } = splitAddress(first);
  return Array.from(
    { length: count },
    (_, index) => serve(`${host}:${port + index}`, index),
  );
}

/** Starts the executor of each host of an object set; returns them by host. */
async function serveExecutorsOfSet(
  file: string,
  options: Options,
): Promise<Map<string, ExecutorStandin>> {
  const set = parseObjectSet(readFileSync(file, "utf8"), { file })
    .unsafeCoerce();
  const executors = new Map<string, ExecutorStandin>();
  for (const [name, { address, slots }] of Object.entries(set.hosts)) {
    const runMs = options.runMs ?? 5;
    executors.set(name, await serveExecutor(address, { name, slots, runMs }));
  }
  return executors;
}

async function serveAll(options: Options): Promise<Promise<Standin>[]> {
  const started: Promise<Standin>[] = [];
  const hosts = options.set === undefined
    ? new Map<string, ExecutorStandin>()
    : await serveExecutorsOfSet(options.set, options);
  if (options.log !== undefined) {
    const retentionMs = options.retentionMs;
    const store = createLogStore(
      retentionMs === undefined ? {} : { retentionMs },
    );
    started.push(serveLog(store, options.log));
  }
  if (options.hosts !== undefined) {
    const lagMs = options.hostsLagMs ?? 0;
    const list = await serveHostList(options.hosts, {
      lagMs,
      reboot: async (name) => {
        await hosts.get(name)?.reboot(options.rebootMs ?? 500);
      },
    });
    for (const [host, executor] of hosts) {
      list.put({ host, state: "live" });
      started.push(Promise.resolve(executor));
    }
    started.push(Promise.resolve(list));
  }
  if (options.executors !== undefined) {
    started.push(...serveOnConsecutivePorts(
      options.executors,
      options.executorCount ?? 1,
      (address) =>
        serveExecutor(address, { name: address, runMs: options.runMs ?? 5 }),
    ));
  }
  if (options.workers !== undefined) {
    const reportLagMs = options.reportLagMs ?? 0;
    started.push(...serveOnConsecutivePorts(
      options.workers,
      options.workerCount ?? 1,
      (address) => serveWorker(address, { reportLagMs }),
    ));
  }
  if (options.balancer !== undefined) {
    const backends = (options.backends ?? "").split(",");
    started.push(serveBalancer(options.balancer, backends));
  }
  return started;
}

async function main(): Promise<void> {
  const cli = cac("standins");
  cli.command("", "Serve stand-ins of the platform and of back ends")
    .option("--log <address>", "Address of the log")
    .option("--retention-ms <ms>", "Retention of the log")
    .option("--hosts <address>", "Address of the host list")
    .option(
      "--hosts-lag-ms <ms>",
      "Delay until changes of the host list are visible",
    )
    .option("--set <file>", "Object set whose executors are served")
    .option("--reboot-ms <ms>", "Time that a reboot of a host takes")
    .option(
      "--executors <address>",
      "Address of the first executor; the others use the next ports",
    )
    .option("--executor-count <n>", "Number of executors")
    .option("--run-ms <ms>", "Default run time of a request")
    .option(
      "--workers <address>",
      "Address of the first worker agent; the others use the next ports",
    )
    .option("--worker-count <n>", "Number of worker agents")
    .option("--report-lag-ms <ms>", "Minimum age of usage reports")
    .option("--balancer <address>", "Address of the load balancer")
    .option(
      "--backends <addresses>",
      "Addresses of the back ends, separated by commas",
    )
    .action(async (options: Options) => {
      const standins = await Promise.all(await serveAll(options));
      console.log(standins.map((it) => it.address).join("\n"));
      const stop = () => void Promise.all(standins.map((it) => it.close()));
      process.once("SIGTERM", stop);
      process.once("SIGINT", stop);
    });
  cli.help();
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
}

await main();
