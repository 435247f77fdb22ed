/**
 * Deployment for tests: request paths of several entry hosts, two executors and
 * a log in memory, in which faults can be injected.
 *
 * @module
 */

import { createCallerServer } from "@lagoonloom/callers";
import type { RemoteSlots, Topology } from "@lagoonloom/decisions";
import type { Service } from "@lagoonloom/objects";
import { tailStream } from "@lagoonloom/platform";
import type { AnswerRecord } from "@lagoonloom/records";
import { createLogStore, createPlatformStandin } from "@lagoonloom/standins";
import { createEventLog, createMetrics } from "@lagoonloom/telemetry";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import {
  type Attempt,
  type CallOptions,
  sendCallerRequest,
} from "./_fault_caller.ts";
import { type ExecutorState, serveFaultExecutor } from "./_fault_executor.ts";
import { createRequestPath, type RequestPath } from "./create_request_path.ts";
import type { RequestPathDependencies } from "./dependencies.ts";

/** Deadline of the requests of the tests. */
const DEADLINE_MS = 300;

/** Slots of each entry host on each executor. */
const SLOTS_PER_EXECUTOR = 3;

/** Entry host of a test. */
export type TestEntryHost = {
  name: string;
  incarnation: number;
  path: RequestPath;
  address: string;
  isCrashed: boolean;
  /** Whether it can't reach the log. */
  isCutOff: boolean;
  /** Aborts when the entry host crashes. */
  crashSignal: AbortSignal;
  stop: () => void;
};

/** Options of {@linkcode createFaultFixture}. */
export type FaultFixtureOptions = {
  overrides?: Partial<RequestPathDependencies>;
  /** Whether the first entry host owns no slots and forwards everything. */
  isForwarding?: boolean;
  longestRequestMs?: number;
  maxClaims?: number;
  /** Number of entry hosts, at least 2. */
  entryHosts?: number;
  /** Latency of a call between entry hosts in milliseconds. */
  latencyMs?: number;
};

/** Creates entry hosts, two executors and a log. */
export async function createFaultFixture(options: FaultFixtureOptions = {}) {
  const executorState: ExecutorState = {
    injectedFault: undefined,
    runs: [],
    previousAnswer: { id: "none", body: "none" },
    closesIdleConnections: false,
    runMs: 0,
  };
  const executors = [
    await serveFaultExecutor(executorState),
    await serveFaultExecutor(executorState),
  ];
  const store = createLogStore();
  const hosts = new Map<string, TestEntryHost>();
  let leaving: string | undefined;
  let version = 1;
  const fixture = {
    executorState,
    store,
    hosts,
    executors,
    call,
    crash,
    start,
    markExecutorLeaving,
    clearFaults,
    close,
  };
  const names = Array.from(
    { length: options.entryHosts ?? 2 },
    (_, index) => `entry-${String.fromCharCode(97 + index)}`,
  );
  for (const name of names) await start(name, 1);
  return fixture;

  async function delayCall(): Promise<void> {
    if (!options.latencyMs) return;
    await new Promise((resolve) => setTimeout(resolve, options.latencyMs));
  }

  async function start(
    name: string,
    incarnation: number,
  ): Promise<TestEntryHost> {
    const host = { name, incarnation, isCrashed: false, isCutOff: false };
    const abort = new AbortController();
    const platform = createPlatformStandin(store, {
      isUnreachable: () => host.isCutOff || host.isCrashed,
    });
    let readAtMs = performance.now();
    const path = createRequestPath({
      settings: {
        member: name,
        incarnation: String(incarnation),
        teamsByToken: new Map([["token", "team"], ["other", "other-team"]]),
        maxConnections: 8,
        maxBodyBytes: 1_000_000,
        longestRequestMs: options.longestRequestMs ?? 10_000,
        ...(options.maxClaims && { maxClaims: options.maxClaims }),
      },
      hasSlotRights: () => !host.isCrashed,
      logIsFresh: () => performance.now() - readAtMs < 1_100,
      setVersion: () => version,
      isLive: () => true,
      isReady: () => true,
      findService,
      hostAddress: (executor) => executors[Number(executor)]?.address,
      append: (stream, id, body) => platform.append({ stream, id, body }),
      readAnswer: async (offset) => {
        const stream = "answers";
        const range = { stream, from: offset, limit: 1, waitMs: 0 } as const;
        const outcome = await platform.read(range);
        if (outcome.type !== "read") return undefined;
        return outcome.page.records[0]?.body as AnswerRecord | undefined;
      },
      forward: async (member, forwarded) => {
        await delayCall();
        const other = hosts.get(member);
        if (other === undefined || other.isCrashed) {
          return { type: "not-sent" };
        }
        const crashed = once(other.crashSignal, "abort")
          .then(() => ({ type: "unknown" as const }));
        return await Promise.race([
          other.path.handleForward(forwarded),
          crashed,
        ]);
      },
      awaitOutcomeAt: async (member, key, waitMs) => {
        await delayCall();
        const other = hosts.get(member);
        if (other === undefined || other.isCrashed) {
          throw new Error(`The entry host ${member} is not running.`);
        }
        return await other.path.awaitOutcome(key, waitMs);
      },
      isCurrentMember: (member, wanted) => {
        const other = hosts.get(member);
        return other?.isCrashed === false &&
          String(other.incarnation) === wanted;
      },
      otherMembers: () => [...hosts.keys()].filter((other) => other !== name),
      liveMembers: () => hosts.size,
      events: createEventLog({ format: "hidden" }),
      metrics: createMetrics(),
      nowMs: () => performance.now(),
      ...options.overrides,
    });
    path.updateTopology(topologyOf(name), remoteSlotsOf(name));
    let nextOffset = 0;
    void tailStream(platform, {
      nextOffset: () => nextOffset,
      onRecords(records) {
        readAtMs = performance.now();
        for (const record of records) path.foldClaim(record);
        nextOffset += records.length;
      },
      onExpired: () => Promise.resolve(),
      onUnreachable: () => undefined,
    }, { stream: "claims", signal: abort.signal });
    const server = createCallerServer(path.app);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const started: TestEntryHost = Object.assign(host, {
      path,
      address: `127.0.0.1:${port}`,
      crashSignal: abort.signal,
      stop() {
        host.isCrashed = true;
        abort.abort();
        path.close();
        server.close();
        server.closeAllConnections();
      },
    });
    hosts.set(name, started);
    return started;
  }

  function remoteSlotsOf(name: string): RemoteSlots[] {
    if (!options.isForwarding || name !== "entry-a") return [];
    const member = "entry-b";
    return [{ member, pool: "orders", free: 50, isSameDataCentre: true }];
  }

  function topologyOf(name: string): Topology {
    const first = SLOTS_PER_EXECUTOR * (name.charCodeAt(6) - 97);
    const own = Array.from(
      { length: SLOTS_PER_EXECUTOR },
      (_, slot) => first + slot,
    );
    const slots = options.isForwarding && name === "entry-a" ? [] : own;
    return {
      pools: [{
        name: "orders",
        hosts: ["0", "1"].map((executor) => ({
          name: executor,
          slots,
          isLeaving: executor === leaving,
        })),
      }],
      services: ["orders", "quoting"].map((service) => ({
        name: service,
        pool: "orders",
        sharePercent: 50,
        overflow: [],
        runTimeMs: 5,
      })),
    };
  }

  /** Marks the first executor as leaving in a new version of the set. */
  function markExecutorLeaving(): void {
    version += 1;
    leaving = "0";
    for (const { name, path } of hosts.values()) {
      path.updateTopology(topologyOf(name), remoteSlotsOf(name));
    }
  }

  /** Stops an entry host without a graceful shutdown. */
  function crash(name: string): void {
    hosts.get(name)?.stop();
  }

  function clearFaults(): void {
    executorState.injectedFault = undefined;
    Object.assign(store.faults, { isDown: false, delayMs: 0, lostAnswers: 0 });
    for (const host of hosts.values()) host.isCutOff = false;
  }

  function call(name: string, options: CallOptions): Promise<Attempt> {
    const address = hosts.get(name)!.address;
    return sendCallerRequest(
      address,
      options,
      () =>
        executorState.runs.filter((key) => key === (options.key ?? "quote"))
          .length,
    );
  }

  function close(): void {
    for (const host of hosts.values()) host.stop();
    for (const executor of executors) executor.kill();
    // Ends the reads that still wait for a record.
    store.append("claims", { id: "end", body: {} });
  }
}

function findService(name: string): Service | undefined {
  if (name !== "orders" && name !== "quoting") return undefined;
  return {
    pool: "orders",
    share_percent: 50,
    overflow: [],
    run_time_ms: 5,
    deadline_ms: DEADLINE_MS,
    idempotent_posts: name === "quoting",
  };
}
