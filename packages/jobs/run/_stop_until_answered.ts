import { sleep } from "../_sleep.ts";
import type {
  CommandOutcome,
  ExecutorClient,
  ExecutorTarget,
} from "../ports.ts";

/** Pause after a stop without an answer. */
const RETRY_MS = 300;

/** Options of {@linkcode stopUntilAnswered}. */
export type StopOptions = {
  target: ExecutorTarget;
  /** Whether the stop is still to be repeated. */
  isWanted(): boolean;
  /** Called after each stop without an answer. */
  onFailure?(): void;
};

/**
 * Stops a run, and repeats the request until the executor answers.
 *
 * @returns the answer, undefined if the stop is not wanted any more
 */
export async function stopUntilAnswered(
  executorClient: ExecutorClient,
  request: Parameters<ExecutorClient["stop"]>[1],
  { target, isWanted, onFailure }: StopOptions,
): Promise<CommandOutcome | undefined> {
  while (isWanted()) {
    const outcome = await executorClient.stop(target, request);
    if (outcome.type !== "unknown") return outcome;
    onFailure?.();
    await sleep(RETRY_MS);
  }
  return undefined;
}
