import { describe, expect, test } from "@jest/globals";
import { createJobSet } from "@lagoonloom/standins/jobs";
import { applyRecord } from "./apply_record.ts";
import { decodeCheckpoint, encodeCheckpoint } from "./encode_checkpoint.ts";
import { emptyFleetState } from "./fleet_state.ts";

const term = { scope: "detroit", epoch: 1 };
const reason = "test";

const submitted = (job: string, cores: number) => ({
  type: "job.submitted",
  job,
  team: "team-1",
  urgency: "normal",
  declared: { cores, memory_gb: 1, accelerators: 0 },
  declaredRunS: 1,
});
const placed = (job: string, attempt: number, worker = "main-1") => ({
  type: "job.placed",
  ...term,
  job,
  attempt,
  worker,
  leaseMs: 1_000,
  reason,
});
const ended = (job: string, outcome: string, more: object = {}) => ({
  type: "job.ended",
  job,
  attempt: 1,
  outcome,
  reason,
  ...more,
});
const worker = (state: string) => ({
  type: "worker.changed",
  ...term,
  worker: "main-1",
  state,
  reason,
});

/** Folds the set, a decider, and then the steps, through checkpoints. */
function run(steps: readonly object[]): string[] {
  let state = emptyFleetState();
  const set = createJobSet({
    dataCentres: ["detroit"],
    workers: 2,
    cores: 16,
    memoryGb: 32,
  });
  const first = [
    {
      type: "set.changed",
      expectedVersion: 0,
      change: { put: set, removed: [] },
      operator: "ana",
    },
    {
      type: "member.joined",
      member: "e1",
      incarnation: "i1",
      dataCentre: "detroit",
      peerAddress: "",
      operatorAddress: "",
    },
    {
      type: "decider.claimed",
      ...term,
      holder: "e1",
      incarnation: "i1",
      leaseMs: 60_000,
    },
  ];
  return [...first, ...steps].map((body, offset) => {
    state = decodeCheckpoint(encodeCheckpoint(state));
    const record = { offset, id: `${offset}`, timeMs: 1_000 + offset, body };
    return applyRecord(state, record).type;
  }).slice(first.length);
}

describe("applyRecord of jobs", () => {
  // Guards against quotas that two deciders exceed together, a loss that a
  // decider of an older term declares, and two jobs on trial on one worker.
  test.each<[string, [object, string][]]>([
    ["keeps the quota of 16 cores", [
      [submitted("a", 10), "applied"],
      [submitted("b", 10), "applied"],
      [placed("a", 1), "applied"],
      [placed("b", 1, "main-2"), "refused"],
      [
        ended("a", "preempted", {
          used: { cores: 4, memory_gb: 1, accelerators: 0 },
        }),
        "applied",
      ],
      [placed("b", 1, "main-2"), "applied"],
      [placed("a", 2), "applied"],
    ]],
    ["needs a current term for a loss", [
      [submitted("a", 1), "applied"],
      [placed("a", 1), "applied"],
      [ended("a", "lost"), "refused"],
      [ended("a", "lost", { term: { ...term, epoch: 0 } }), "refused"],
      [ended("a", "lost", { term }), "applied"],
    ]],
    ["gives a worker on trial one job", [
      [submitted("a", 1), "applied"],
      [submitted("b", 1), "applied"],
      [worker("suspended"), "applied"],
      [placed("a", 1), "refused"],
      [worker("trial"), "applied"],
      [placed("a", 1), "applied"],
      [placed("b", 1), "refused"],
    ]],
  ])("%s", (_name, steps) => {
    expect(run(steps.map(([body]) => body)))
      .toEqual(steps.map(([, outcome]) => outcome));
  });
});
