/**
 * Deciders of one data centre with simulated faults, on a log in memory.
 *
 * @module
 */

import type { RecordOutcome } from "@lagoonloom/decisions";
import type { ObjectSet } from "@lagoonloom/objects";
import type { ControlRecord } from "@lagoonloom/records";
import {
  createLogStore,
  createPlatformStandin,
  createTestFleet,
} from "@lagoonloom/standins";
import { createEventLog } from "@lagoonloom/telemetry";
import { type ControlFold, createControlFold } from "../control_fold.ts";
import type { PeerLink, PeerLinks } from "../peer_links.ts";
import { createDeciderLoop } from "./decider_loop.ts";
import { createLogClock } from "./log_clock.ts";
import { createWorkObserver } from "./work_observer.ts";

const DATA_CENTRE = "detroit";

/** Time in milliseconds for which a lost entry host may still use its slots. */
export const LOSS_FENCE_MS = 12_000;

/** Decider of one entry host, with the faults that a test can set. */
export type TestDecider = {
  name: string;
  fold: ControlFold;
  /** Whether it neither folds records nor decides. */
  isPaused: boolean;
  /** Whether it can't reach the log. */
  isCutOff: boolean;
  /** Whether it takes its state for recent, however old it is. */
  assumesFreshState: boolean;
  /** Whether it leaves the heartbeats of the others unanswered. */
  isSilent: boolean;
  /** Delays its appends until this resolves. */
  appendGate: Promise<void> | undefined;
  /** Pauses it between an append and the fold until this resolves. */
  foldGate: Promise<void> | undefined;
  busyHosts: Set<string>;
  /** Health of the hosts as its probes report it. */
  observedHealth: Map<
    string,
    { health: "in-service" | "failed"; sinceMs: number }
  >;
  /** Outcomes of the records that it appended. */
  outcomes: string[];
};

/** Creates entry hosts of one data centre with a log in memory. */
export function createDeciders(count: number) {
  const store = createLogStore();
  const restarts: { host: string; by: string }[] = [];
  const deciders: TestDecider[] = [];
  const timers: ReturnType<typeof setInterval>[] = [];
  const append = (id: string, body: ControlRecord) =>
    store.append("control", { id, body });

  function foldNewRecords({ fold }: TestDecider): void {
    const from = fold.state().nextOffset;
    fold.fold(store.read("control", { from, limit: 500 }).records);
  }

  function linkTo(other: TestDecider): PeerLink {
    return {
      name: other.name,
      incarnation: "i1",
      nextOffset: other.fold.state().nextOffset,
      busyHosts: other.busyHosts,
      freeSlots: new Map(),
    } as Partial<PeerLink> as PeerLink;
  }

  function start(index: number): TestDecider {
    const name = `detroit-${index + 1}`;
    const fold = createControlFold();
    const decider: TestDecider = {
      name,
      fold,
      isPaused: false,
      isCutOff: false,
      assumesFreshState: false,
      isSilent: false,
      appendGate: undefined,
      foldGate: undefined,
      busyHosts: new Set(),
      observedHealth: new Map(),
      outcomes: [],
    };
    let readAtMs = -Infinity;
    const isDown = () => decider.isCutOff || store.faults.isDown;
    const links = {
      find: (wanted: string) =>
        deciders.filter((it) => it.name === wanted).map(linkTo)[0],
      isReachable: (link: PeerLink) =>
        !deciders.find((it) => it.name === link.name)!.isSilent,
    } as Partial<PeerLinks> as PeerLinks;
    const loop = createDeciderLoop({
      name,
      dataCentre: DATA_CENTRE,
      incarnation: () => "i1",
      logIsFresh: () =>
        decider.assumesFreshState || performance.now() - readAtMs < 2_000,
      fold,
      async append(id, body) {
        await decider.appendGate;
        if (isDown()) return { type: "not-appended", reason: "down" };
        append(id, body);
        if (decider.foldGate !== undefined) decider.isPaused = true;
        await decider.foldGate;
        foldNewRecords(decider);
        const found = await fold.awaitOutcome(id, 0);
        if (found === undefined) return { type: "unknown", reason: "lost" };
        decider.outcomes.push(describeOutcome(body.type, found.outcome));
        return { type: "folded", ...found };
      },
      // Restarts don't go through the log, so they work while it is down.
      platform: createPlatformStandin(createLogStore(), {
        reboot: (host) => restarts.push({ host, by: name }),
      }),
      probes: {
        observedHealth: () => decider.observedHealth,
        tick: () => undefined,
      },
      work: createWorkObserver({
        name,
        dataCentre: DATA_CENTRE,
        links: () => links,
        running: () => [...decider.busyHosts].map((it) => `${it}/0` as const),
        bootedAtMs: () => undefined,
        lossFenceMs: LOSS_FENCE_MS,
      }),
      demand: {
        observe: () => undefined,
        hostsByPool: () => new Map(),
        shortages: () => [],
        surpluses: () => [],
      },
      logNowMs: createLogClock(fold),
      events: createEventLog({ format: "hidden" }),
    });
    timers.push(setInterval(() => {
      if (decider.isPaused) return;
      if (!isDown()) {
        foldNewRecords(decider);
        readAtMs = performance.now();
      }
      loop.tick(performance.now());
    }, 100));
    return decider;
  }

  for (let index = 0; index < count; index++) deciders.push(start(index));
  for (const { name } of deciders) {
    append(`join.${name}`, {
      type: "member.joined",
      member: name,
      incarnation: "i1",
      dataCentre: DATA_CENTRE,
      peerAddress: "127.0.0.1:1",
      operatorAddress: "127.0.0.1:2",
    });
  }
  return {
    store,
    restarts,
    deciders,
    append,
    stop: () => timers.forEach((timer) => clearInterval(timer)),
  };
}

function describeOutcome(type: string, outcome: RecordOutcome): string {
  const reason = outcome.type === "refused" ? outcome.reason : "";
  return `${type} ${outcome.type} ${reason}`;
}

/** Publishes a pool of two hosts and a wave that takes out one at a time. */
export function publishWave(
  { append }: Pick<ReturnType<typeof createDeciders>, "append">,
): ObjectSet {
  const set = createTestFleet();
  set.budgets.quoting = { service: "quoting", min_available: 1 };
  set.waves.kernel = {
    pools: ["quoting"],
    priority: "urgent",
    outage_s: 60,
    finish_within_h: 24,
    state: "active",
  };
  append("set", {
    type: "set.changed",
    expectedVersion: 0,
    operator: "ada",
    change: { put: set, removed: [] },
  });
  return set;
}

/** Returns the hosts that have an open permit to go out of service. */
export function hostsWithPermit({ fold }: TestDecider): string[] {
  return [...fold.state().hosts]
    .filter(([, { permit }]) => permit !== undefined).map(([name]) => name);
}
