/**
 * Tests of records on jobs and workers.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { createJobSet } from "@lagoonloom/standins/jobs";
import { applyRecord } from "./apply_record.ts";
import { decodeCheckpoint, encodeCheckpoint } from "./encode_checkpoint.ts";
import { emptyFleetState } from "./fleet_state.ts";

const term = { scope: "detroit", epoch: 1 };
const reason = "test";

const submitJob = (job: string, cores: number) => ({
  type: "job.submitted",
  job,
  team: "team-1",
  urgency: "normal",
  declared: { cores, memory_gb: 1, accelerators: 0 },
  declaredRunS: 1,
});
const placeJob = (job: string, attempt: number, worker = "main-1") => ({
  type: "job.placed",
  ...term,
  job,
  attempt,
  worker,
  leaseMs: 1_000,
  reason,
});
const endJob = (job: string, outcome: string, fields: object = {}) => ({
  type: "job.ended",
  job,
  attempt: 1,
  outcome,
  reason,
  ...fields,
});
const changeWorker = (state: string) => ({
  type: "worker.changed",
  ...term,
  worker: "main-1",
  state,
  reason,
});

/**
 * Folds an object set, the claim of a decider and then the bodies, each into a
 * state that was decoded from a checkpoint. Returns the outcomes of the bodies.
 */
function foldThroughCheckpoints(bodies: readonly object[]): string[] {
  let state = emptyFleetState();
  const set = createJobSet({
    dataCentres: ["detroit"],
    workers: 2,
    cores: 16,
    memoryGb: 32,
  });
  const setup = [
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
  return [...setup, ...bodies].map((body, offset) => {
    state = decodeCheckpoint(encodeCheckpoint(state));
    const record = { offset, id: `${offset}`, timeMs: 1_000 + offset, body };
    return applyRecord(state, record).type;
  }).slice(setup.length);
}

describe("applyRecord of jobs", () => {
  // Guards against two deciders that exceed a quota together, a loss that the
  // decider of an earlier term declares, and two jobs on a worker on trial.
  test.each<[string, [object, string][]]>([
    ["enforces the quota of 16 cores", [
      [submitJob("a", 10), "applied"],
      [submitJob("b", 10), "applied"],
      [placeJob("a", 1), "applied"],
      [placeJob("b", 1, "main-2"), "refused"],
      [
        endJob("a", "preempted", {
          used: { cores: 4, memory_gb: 1, accelerators: 0 },
        }),
        "applied",
      ],
      [placeJob("b", 1, "main-2"), "applied"],
      [placeJob("a", 2), "applied"],
    ]],
    ["refuses a loss without a current term", [
      [submitJob("a", 1), "applied"],
      [placeJob("a", 1), "applied"],
      [endJob("a", "lost"), "refused"],
      [endJob("a", "lost", { term: { ...term, epoch: 0 } }), "refused"],
      [endJob("a", "lost", { term }), "applied"],
    ]],
    ["places a single job on a worker on trial", [
      [submitJob("a", 1), "applied"],
      [submitJob("b", 1), "applied"],
      [changeWorker("suspended"), "applied"],
      [placeJob("a", 1), "refused"],
      [changeWorker("trial"), "applied"],
      [placeJob("a", 1), "applied"],
      [placeJob("b", 1), "refused"],
    ]],
  ])("%s", (_title, steps) => {
    expect(foldThroughCheckpoints(steps.map(([body]) => body)))
      .toEqual(steps.map(([, outcome]) => outcome));
  });
});
