/**
 * Cases that measure how state, messages and times grow with the size of a
 * fleet.
 *
 * @module
 */

import { create, toBinary } from "@bufbuild/protobuf";
import {
  advanceClaims,
  advanceScheduler,
  applyRecord,
  assignSlots,
  createClaims,
  createScheduler,
  emptyFleetState,
  encodeCheckpoint,
  type FleetState,
  planWave,
  type Topology,
} from "@lagoonloom/decisions";
import { checkObjectSet, type ObjectSet } from "@lagoonloom/objects";
import { HeartbeatRequestSchema } from "@lagoonloom/peers";
import type { ControlRecord } from "@lagoonloom/records";
import { createFleetSet } from "@lagoonloom/standins/fleet";
import { createHash } from "node:crypto";
import { createLargeDeployment } from "../capacity/deployments.ts";
import { measureMedianMs, measureRetainedBytes } from "./measure_call.ts";

/** Value that is measured at several sizes of a fleet. */
export type ScalingCase = {
  name: string;
  /** Unit of the sizes, for example a worker. */
  sizeUnit: string;
  unit: "bytes" | "ms" | "us";
  sizes: readonly number[];
  /** Size for which the system is designed. */
  targetSize: number;
  /** Returns the value at a size, in `unit`. */
  measure: (size: number) => number;
};

const WORKER_SIZES = {
  sizeUnit: "worker",
  sizes: [360, 1_200, 3_600],
  targetSize: 3_600,
};
const POOL_SIZES = { sizeUnit: "pool", sizes: [5, 20, 88], targetSize: 88 };
const CLAIM_SIZES = {
  sizeUnit: "claim",
  sizes: [20_000, 100_000, 400_000],
  targetSize: 432_000,
};
const MEMBER_SIZES = {
  sizeUnit: "entry host",
  sizes: [3, 9, 27],
  targetSize: 27,
};

/** Cases behind the figures of docs/CAPACITY.md. */
export const SCALING_CASES: readonly ScalingCase[] = [
  {
    ...WORKER_SIZES,
    name: "fold-state",
    unit: "bytes",
    measure: (size) => measureRetainedBytes(() => foldSet(createSet(size))),
  },
  {
    ...WORKER_SIZES,
    name: "fold-publication",
    unit: "ms",
    measure: measurePublication,
  },
  {
    ...WORKER_SIZES,
    name: "check-set",
    unit: "ms",
    measure(size) {
      const set = createSet(size);
      return measureMedianMs(() => checkObjectSet(set));
    },
  },
  {
    ...WORKER_SIZES,
    name: "checkpoint",
    unit: "bytes",
    measure: (size) =>
      encodeCheckpoint(foldSet(createSet(size))).join("").length,
  },
  {
    ...WORKER_SIZES,
    name: "checkpoint-encode",
    unit: "ms",
    measure(size) {
      const state = foldSet(createSet(size));
      return measureMedianMs(() => encodeCheckpoint(state));
    },
  },
  {
    ...WORKER_SIZES,
    name: "wave-round",
    unit: "ms",
    measure: measureWaveRound,
  },
  {
    ...WORKER_SIZES,
    name: "slot-assignment",
    unit: "ms",
    measure(size) {
      const input = createSlotInput(size / 9);
      return measureMedianMs(() => assignSlots(input));
    },
  },
  {
    ...CLAIM_SIZES,
    name: "claims-state",
    unit: "bytes",
    measure: (size) => measureRetainedBytes(() => foldClaims(size)),
  },
  {
    ...CLAIM_SIZES,
    name: "claims-fold",
    unit: "us",
    measure(size) {
      const startedAtMs = performance.now();
      foldClaims(size);
      return (performance.now() - startedAtMs) * 1_000 / size;
    },
  },
  {
    ...POOL_SIZES,
    name: "scheduler-request",
    unit: "us",
    measure: measureScheduler,
  },
  {
    ...POOL_SIZES,
    name: "heartbeat-full",
    unit: "bytes",
    measure: (size) => encodeHeartbeat(size).length,
  },
  {
    ...MEMBER_SIZES,
    name: "member-state",
    unit: "bytes",
    measure: (size) => measureRetainedBytes(() => foldMembers(size)),
  },
];

function createSet(workers: number): ObjectSet {
  return createFleetSet(createLargeDeployment(workers).shape);
}

function foldSet(set: ObjectSet): FleetState {
  const state = emptyFleetState();
  fold(state, {
    type: "set.changed",
    expectedVersion: 0,
    change: { put: set, removed: [] },
    operator: "ada",
  });
  return state;
}

/** Returns the time in milliseconds to fold a change of one host. */
function measurePublication(workers: number): number {
  const state = foldSet(createSet(workers));
  const [name, host] = Object.entries(state.set.hosts)[0]!;
  return measureMedianMs(() => {
    const { setVersion: expectedVersion } = state;
    const cores = host.cores + expectedVersion % 2;
    fold(state, {
      type: "set.changed",
      expectedVersion,
      change: { put: { hosts: { [name]: { ...host, cores } } }, removed: [] },
      operator: "ada",
    });
  });
}

/** Returns the time in milliseconds of a wave's round in one data centre. */
function measureWaveRound(workers: number): number {
  const { shape } = createLargeDeployment(workers);
  const wave = { pools: Object.keys(shape.pools), outage_s: 300 };
  const state = foldSet(createFleetSet({
    ...shape,
    waves: { routine: { ...wave, state: "active" } },
  }));
  const scope = shape.dataCentres[0]!.name;
  fold(state, {
    type: "member.joined",
    member: "entry-1",
    incarnation: "i1",
    dataCentre: scope,
    peerAddress: "127.0.0.1:25002",
    operatorAddress: "127.0.0.1:25001",
  });
  fold(state, {
    type: "decider.claimed",
    scope,
    holder: "entry-1",
    incarnation: "i1",
    epoch: 1,
    leaseMs: 60_000,
  });
  const plan = () =>
    planWave(state, new Map(), {
      term: { scope, epoch: 1 },
      nowMs: 10_000,
    });
  // Folds the first round, which starts the wave.
  for (const { body } of plan().records) fold(state, body);
  if (plan().records.length === 0) {
    throw new Error("The second round of the wave planned no records.");
  }
  return measureMedianMs(plan);
}

function fold(state: FleetState, body: ControlRecord): void {
  const { nextOffset: offset } = state;
  const id = `record-${offset}`;
  const outcome = applyRecord(state, { offset, timeMs: offset, id, body });
  if (outcome.type !== "applied") throw new Error(JSON.stringify(outcome));
}

function createSlotInput(executors: number) {
  return {
    hosts: Array.from({ length: executors }, (_, index) => ({
      name: `host-${index}`,
      dataCentre: "place-1",
      slots: 8,
    })),
    members: ["entry-1", "entry-2", "entry-3"]
      .map((name) => ({ name, dataCentre: "place-1" })),
  };
}

function foldClaims(count: number) {
  const state = createClaims({
    member: "entry-1",
    incarnation: "1",
    maxClaims: 1_000_000,
  });
  const batch = 20;
  const digest = (text: string) =>
    createHash("sha256").update(text).digest("base64url").slice(0, 22);
  const request = digest("request");
  for (let start = 0; start < count; start += batch) {
    const entries = Array.from({ length: batch }, (_, index) => ({
      type: "claimed" as const,
      key: digest(String(start + index)),
      request,
    }));
    const body = { holder: "entry-2", incarnation: "1", entries };
    const id = `b.${start / batch + 1}`;
    const event = { type: "folded", id, timeMs: start, body };
    advanceClaims(state, event as Parameters<typeof advanceClaims>[1], 0);
  }
  return state;
}

/** Returns the time in microseconds that the scheduler needs per request. */
function measureScheduler(pools: number): number {
  const state = createScheduler({ topology: { pools: [], services: [] } });
  const names = Array.from({ length: pools }, (_, index) => `pool-${index}`);
  const topology: Topology = {
    pools: names.map((name) => ({
      name,
      hosts: ["a", "b", "c", "d"].map((host) => ({
        name: `${name}-${host}`,
        slots: [0, 1, 2],
        isLeaving: false,
      })),
    })),
    services: names.map((name) => ({
      name,
      pool: name,
      sharePercent: 100,
      overflow: names.filter((other) => other !== name).slice(0, 4),
      runTimeMs: 20,
    })),
  };
  advanceScheduler(state, { type: "topology", topology }, 0);
  const requests = 20_000;
  let nowMs = 0;
  const startedAtMs = performance.now();
  for (let index = 0; index < requests; index++) {
    nowMs += 1;
    const id = String(index);
    const request = {
      id,
      service: names[index % pools]!,
      urgency: "normal" as const,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + 1_000,
      isForwarded: false,
      excludedHosts: [],
    };
    const actions = advanceScheduler(
      state,
      { type: "arrived", request },
      nowMs,
    );
    for (const action of actions) {
      if (action.type !== "start") continue;
      const { host, slot } = action;
      advanceScheduler(state, {
        type: "finished",
        id: action.id,
        host,
        slot,
        runMs: 20,
        result: "succeeded",
      }, nowMs);
    }
  }
  return (performance.now() - startedAtMs) * 1_000 / requests;
}

/** Encodes a heartbeat that reports free slots of every pool. */
function encodeHeartbeat(pools: number): Uint8Array {
  const freeSlots = Array.from({ length: pools }, (_, index) => ({
    pool: `pool-${index + 1}`,
    free: 8,
  }));
  return toBinary(
    HeartbeatRequestSchema,
    create(HeartbeatRequestSchema, {
      member: "place-1-entry-1",
      incarnation: "0123456789abcdef",
      dataCentre: "place-1",
      nextOffset: 1_000_000n,
      generation: 1_000n,
      setVersion: 100_000n,
      slotBasis: 1n,
      freeSlots,
    }),
  );
}

function foldMembers(count: number): FleetState {
  const state = emptyFleetState();
  for (let index = 0; index < count; index++) {
    fold(state, {
      type: "member.joined",
      member: `entry-${index}`,
      incarnation: `i${index}`,
      dataCentre: `place-${index % 9}`,
      peerAddress: `127.0.0.1:${25_000 + index}`,
      operatorAddress: `127.0.0.1:${26_000 + index}`,
    });
  }
  return state;
}
