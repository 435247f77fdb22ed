/**
 * Choice of executors for all tasks of a group at once.
 *
 * @module
 */

import { rackOf } from "../executor_state.ts";
import type { Task } from "../job.ts";
import {
  type Candidate,
  chooseCandidate,
  type ChooseOptions,
  occupy,
} from "./choose_candidate.ts";

/** Choice of a candidate for a task. */
export type Choice = { task: Task; candidate: Candidate };

/**
 * Chooses a candidate for each task without occupying it; returns undefined if
 * the candidates can't take all tasks.
 */
export function chooseTogether(
  tasks: readonly Task[],
  candidates: readonly Candidate[],
  options: ChooseOptions,
): Choice[] | undefined {
  const originals = new Map(
    candidates.map((candidate) => [copyOf(candidate), candidate]),
  );
  const copies = [...originals.keys()];
  const choices: Choice[] = [];
  for (const task of tasks) {
    const copy = chooseCandidate(task, copies, options);
    if (copy === undefined) return undefined;
    occupy(copy, task);
    choices.push({ task, candidate: originals.get(copy)! });
  }
  return choices;
}

function copyOf(candidate: Candidate): Candidate {
  const { free, placed } = candidate;
  return { ...candidate, free: { ...free }, placed: new Map(placed) };
}

/**
 * Chooses candidates in the first rack that can take all tasks; returns
 * undefined if there is none.
 */
export function chooseInOneRack(
  tasks: readonly Task[],
  candidates: readonly Candidate[],
  options: ChooseOptions,
): Choice[] | undefined {
  const racks = new Set(candidates.map(({ executor }) => rackOf(executor)));
  for (const rack of racks) {
    const members = candidates.filter(({ executor }) =>
      rackOf(executor) === rack
    );
    const choices = chooseTogether(tasks, members, options);
    if (choices !== undefined) return choices;
  }
  return undefined;
}
