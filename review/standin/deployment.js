// A small deployment: the project's daemons as processes, with the command of
// the deploy file, beside the stand-ins of the platform.

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { send, serve } from "./http_server.js";
import { startStore } from "./store_standin.js";

const ROOT = new URL("../../", import.meta.url).pathname;
const START_TIMEOUT_MS = 20_000;
const RESTART_MS = 500;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the case is to cause its disruption. */
export const hasTrouble = () => process.env.TROUBLE !== "0";

/** Returns the command of the only role of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text);
  if (run === null) throw new Error("The deploy file has no command.");
  return run[1].split(" ");
}

/** Range of the ports of daemons, below those of outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

const takenPorts = new Set();

/** Returns a free port that was not returned before. */
async function findPort(host) {
  while (true) {
    const port = FIRST_PORT + Math.floor(PORT_COUNT * Math.random());
    if (takenPorts.has(port)) continue;
    takenPorts.add(port);
    const isFree = await new Promise((resolve) => {
      const probe = createServer();
      probe.once("error", () => resolve(false));
      probe.listen(port, host, () => probe.close(() => resolve(true)));
    });
    if (isFree) return port;
  }
}

/** Collects what was sent, answered and run, with the time in ms. */
function createRecorder(path) {
  const startedMs = performance.now();
  const lines = [];
  return {
    entries: lines,
    nowMs: () => Math.round(performance.now() - startedMs),
    record(what, details = {}) {
      lines.push({
        atMs: Math.round(performance.now() - startedMs),
        what,
        ...details,
      });
    },
    save() {
      const texts = lines.map(({ atMs, what, ...details }) => {
        const fields = Object.entries(details)
          .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
        return [String(atMs).padStart(6), what, ...fields].join(" ");
      });
      writeFileSync(path, `${texts.join("\n")}\n`);
    },
  };
}

/**
 * Starts the store, the list of machines and `members` daemons, and waits until
 * they serve. `config` is the first config; `advice` the address of a service.
 */
export async function startDeployment({
  folder,
  members = 3,
  config,
  bounds = {},
  storeFault,
  advice,
}) {
  const host = "127.0.0.1";
  const parts = 32;
  const temporary = mkdtempSync(join(tmpdir(), "review-"));
  const recorder = createRecorder(join(folder, "record.txt"));
  const { record } = recorder;
  const store = await startStore({ host, parts, fault: storeFault });
  const machines = [];
  const cloud = await serve(
    host,
    ({ path }) =>
      path === "/lagoonloom/machines"
        ? { status: 200, body: { machines, nextToken: null } }
        : { status: 400, body: {} },
  );
  store.put("op", "config", JSON.stringify(config));
  record("config", { version: config.version });
  const closers = [];
  const daemons = [];
  let isClosing = false;

  // No daemon outlives the case, also if the case itself is stopped.
  process.on("exit", () => {
    for (const { child } of daemons) child?.kill("SIGKILL");
    rmSync(temporary, { recursive: true, force: true });
  });
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.on(signal, () => process.exit(NOT_RUN));
  }

  const launch = (daemon) => {
    const [program, ...args] = readCommand();
    const child = spawn(program === "node" ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? "",
        HOME: process.env.HOME ?? "",
        LANG: process.env.LANG ?? "",
        LAGOONLOOM_CONFIG: daemon.file,
        LAGOONLOOM_METRICS: `${daemon.metricsPort}/metrics`,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    daemon.child = child;
    daemon.output = "";
    const keep = (chunk) => {
      daemon.output = (daemon.output + chunk).slice(-4_000);
      if (process.env.SHOW === "1") process.stderr.write(chunk);
    };
    child.stdout.on("data", keep);
    child.stderr.on("data", keep);
    child.on("exit", (code, signal) => {
      if (isClosing || daemon.isStopped) return;
      const error = /\w*Error\b.*/.exec(daemon.output)?.[0] ?? "";
      record("daemon ended", { node: daemon.node, code, signal, error });
      daemon.ends++;
      // The platform starts a process that has ended again.
      setTimeout(() => isClosing || launch(daemon), RESTART_MS);
    });
  };

  for (let index = 1; index <= members; index++) {
    const ports = [];
    for (let count = 0; count < 4; count++) ports.push(await findPort(host));
    const node = `edge-detroit-${index}`;
    const daemon = {
      node,
      front: `${host}:${ports[0]}`,
      ready: `${host}:${ports[1]}`,
      peer: `${host}:${ports[2]}`,
      metricsPort: ports[3],
      file: join(temporary, `${node}.json`),
      ends: 0,
    };
    writeFileSync(
      daemon.file,
      JSON.stringify({
        node,
        role: "member",
        machineClass: "edge",
        serves: ["edge"],
        ip: host,
        zone: "detroit",
        region: "great-lakes",
        zones: { detroit: "great-lakes" },
        listen: { front: daemon.front, ready: daemon.ready },
        portRange: [ports[2], ports[2]],
        bootstrap: true,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, linkMbps: 1000 },
        heartbeatMs: 1500,
        bounds: {
          holdMaxMs: 6000,
          status_s: 120,
          graceS: 6,
          maintenanceS: 2,
          moveS: 1.5,
          paceMs: 100,
          ...bounds,
        },
        ...(advice === undefined ? {} : { advice }),
        platform: { address: store.address, form: "log", parts },
        cloud: { address: cloud.address },
      }),
    );
    daemons.push(daemon);
    launch(daemon);
  }

  const deadlineMs = performance.now() + START_TIMEOUT_MS;
  for (const { ready } of daemons) {
    while (performance.now() < deadlineMs) {
      const answer = await send({
        method: "GET",
        address: ready,
        path: "/lagoonloom/ready",
        timeoutMs: 500,
      });
      if (answer?.status === 200) break;
      await pause(100);
    }
  }
  if (performance.now() >= deadlineMs) record("not ready");

  return {
    ...recorder,
    store,
    machines,
    daemons,
    host,
    isReady: performance.now() < deadlineMs,
    /** Registers something to close at the end. */
    onClose: (close) => closers.push(close),
    /** Sends a requester's call to the `front` address of a daemon. */
    async call({ daemon, method, route, id, json, timeoutMs = 3_000 }) {
      const path = route.pathPrefix + id;
      record("sent", { method, path, to: daemon.node });
      const answer = await send({
        method,
        address: daemon.front,
        path,
        headers: { host: route.host, "x-deadline-ms": String(timeoutMs) },
        json,
        timeoutMs,
      });
      record("answered", {
        method,
        path,
        status: answer?.status ?? "none",
        ...(answer?.body.state === undefined
          ? {}
          : { state: answer.body.state }),
      });
      return answer;
    },
    /** Writes a new config; returns the time of its confirmation. */
    putConfig(next) {
      store.put("op", "config", JSON.stringify(next));
      record("config", { version: next.version });
      return performance.now();
    },
    async close() {
      isClosing = true;
      for (const close of closers) close();
      await Promise.all(daemons.map(async ({ child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        const ended = new Promise((resolve) => child.once("exit", resolve));
        child.kill("SIGKILL");
        await ended;
      }));
      store.close();
      cloud.close();
      recorder.save();
      rmSync(temporary, { recursive: true, force: true });
    },
  };
}

/** Runs a case, prints its verdict and exits with its code. */
export async function runCase(play) {
  let code = NOT_RUN;
  try {
    const { verdict, reason } = await play();
    code = verdict;
    console.log(`${["held", "broken", "not run"][code]}: ${reason}`);
  } catch (error) {
    console.log(`not run: ${error.stack}`);
  }
  process.exit(code);
}
