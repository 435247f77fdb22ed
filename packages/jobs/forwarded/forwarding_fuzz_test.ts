import { afterEach, beforeEach, expect, jest, test } from "@jest/globals";
import type { MemoryExecutor } from "@lagoonloom/standins";
import fc from "fast-check";
import {
  advanceTime,
  createAccepted,
  createOwnerFixture,
  createStep,
  JOB_ID,
  JOBS,
  NEXT_JOB_ID,
  type OwnerFixture,
  PARTITION,
} from "../_fixtures.ts";
import type { PartitionOwner } from "../owned/partition_owner.ts";
import type { KeyedRecord } from "../ports.ts";
import { cancelKey, JOBS_TOPIC } from "../topics.ts";

const SEED = 65;

/** Runs that CI plays. FORWARDING_RUNS names another number. */
const RUNS = Number(process.env["FORWARDING_RUNS"] ?? 40);

/** Partition of the service `orders`. */
const ELSEWHERE = PARTITION + 1;

/** Duration of the faults of a run, and the pause between two checks. */
const FAULTS_MS = 12_000;
const STEP_MS = 50;

/** Time after the faults in which all jobs begin and all cancelled ones end. */
const CALM_MS = 20_000;

/** Delay of an append that is carried out late. */
const MAX_LATE_MS = 6_000;

const IDS = [JOB_ID, NEXT_JOB_ID, "00000000000000c3"];

/** Something that happens to a job, to an owner or to the store, by weight. */
const Kind = fc.oneof(
  {
    weight: 6,
    /** A member stores the job for a service at the home of its queue. */
    arbitrary: fc.constantFrom("submit for quoting", "submit for orders"),
  },
  {
    weight: 1,
    /** A member stores its cancellation there, or for both services. */
    arbitrary: fc.constantFrom("cancel at home", "cancel elsewhere"),
  },
  {
    weight: 4,
    /** An owner is lost, and the next one takes over. */
    arbitrary: fc.constantFrom("replace home", "replace elsewhere"),
  },
  {
    weight: 3,
    arbitrary: fc.constantFrom(
      /** Appends of jobs to the other partition are refused for a while. */
      "partition down",
      /** The store refuses all calls for a while, or loses answers. */
      "store down",
      "answers lost",
      /** The store keeps only the newest record of each key. */
      "drop history",
    ),
  },
);
const Incident = fc.record({
  atMs: fc.integer({ min: 0, max: FAULTS_MS }),
  id: fc.constantFrom(...IDS),
  lateMs: fc.oneof(
    fc.constant(0),
    fc.integer({ min: 1, max: MAX_LATE_MS }),
  ),
  kind: Kind,
});
type Incident = { atMs: number; id: string; lateMs: number; kind: string };

/** Owners of two partitions, one of which has the home of the queue. */
type Play = {
  fixture: OwnerFixture;
  quoting: MemoryExecutor;
  orders: MemoryExecutor;
  owners: Map<number, PartitionOwner>;
  epochs: number;
  submitted: Set<string>;
  cancelled: Set<string>;
  /** Records that are stored at a time, with their partition. */
  late: { atMs: number; partition: number; record: KeyedRecord }[];
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

async function startPlay(): Promise<Play> {
  const fixture = createOwnerFixture();
  fixture.servicesElsewhere = new Map([["orders", ELSEWHERE]]);
  const play: Play = {
    fixture,
    quoting: fixture.addExecutor("e1"),
    orders: fixture.addExecutor("e2", { service: "orders" }),
    owners: new Map(),
    epochs: 0,
    submitted: new Set(),
    cancelled: new Set(),
    late: [],
  };
  for (const partition of [PARTITION, ELSEWHERE]) {
    await replaceOwner(play, partition);
  }
  return play;
}

async function replaceOwner(play: Play, partition: number): Promise<void> {
  play.owners.get(partition)?.close();
  const owner = await play.fixture.startOwner(++play.epochs, partition);
  play.owners.set(partition, owner);
}

async function apply(play: Play, incident: Incident): Promise<void> {
  const { fixture, late } = play;
  const { id, kind, lateMs } = incident;
  const atMs = performance.now() + lateMs;
  const [verb, , service] = kind.split(" ");
  if (verb === "submit") {
    const accepted = { ...createAccepted([createStep()]), service };
    const record = { key: id, value: JSON.stringify(accepted) };
    late.push({ atMs, partition: PARTITION, record });
    play.submitted.add(id);
  } else if (verb === "cancel") {
    const record = { key: cancelKey(id), value: "{}" };
    late.push({ atMs, partition: PARTITION, record });
    if (kind === "cancel elsewhere") {
      late.push({ atMs, partition: ELSEWHERE, record });
    }
    play.cancelled.add(id);
  } else if (kind === "replace home") await replaceOwner(play, PARTITION);
  else if (kind === "replace elsewhere") await replaceOwner(play, ELSEWHERE);
  else if (kind === "partition down") {
    fixture.unreachable = { topic: JOBS_TOPIC, partition: ELSEWHERE };
    setTimeout(() => fixture.unreachable = undefined, lateMs);
  } else if (kind === "drop history") fixture.store.dropHistory(JOBS);
  else {
    fixture.store.fault = kind === "store down" ? "refusing" : "losingAnswers";
    setTimeout(() => fixture.store.fault = undefined, lateMs);
  }
}

/** Stores the records that are due. */
function storeDue({ fixture, late }: Play): void {
  const nowMs = performance.now();
  for (const entry of late.filter(({ atMs }) => atMs <= nowMs)) {
    late.splice(late.indexOf(entry), 1);
    const { partition, record } = entry;
    fixture.store.put({ topic: JOBS_TOPIC, partition }, record);
  }
}

/** Returns the jobs of which tasks run at both services. */
function runningTwice({ quoting, orders }: Play): string[] {
  return [...quoting.running.keys()].filter((task) => orders.running.has(task));
}

function isRunning({ quoting, orders }: Play, id: string): boolean {
  return [...quoting.running.keys(), ...orders.running.keys()]
    .some((task) => task.startsWith(id));
}

// Guards against a job that runs for two services (TWICE), that nobody runs
// (LOST), or that runs on after it was cancelled (UNASKED), in any order of
// late records, lost owners and outages of the store.
test("jobs that are handed on run once, until they are cancelled", async () => {
  const property = fc.asyncProperty(
    fc.array(Incident, { minLength: 10, maxLength: 24 }),
    async (incidents) => {
      const play = await startPlay();
      const startMs = performance.now();
      const due = [...incidents].sort((a, b) => a.atMs - b.atMs);
      const endMs = startMs + FAULTS_MS + MAX_LATE_MS + CALM_MS;
      while (performance.now() < endMs) {
        const elapsedMs = performance.now() - startMs;
        while (due.length > 0 && due[0]!.atMs <= elapsedMs) {
          await apply(play, due.shift()!);
        }
        storeDue(play);
        await advanceTime(STEP_MS);
        expect(runningTwice(play)).toEqual([]);
      }
      const expected = IDS.filter((id) =>
        play.submitted.has(id) && !play.cancelled.has(id)
      );
      expect(IDS.filter((id) => isRunning(play, id))).toEqual(expected);
      play.fixture.close();
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS });
}, 120_000);
