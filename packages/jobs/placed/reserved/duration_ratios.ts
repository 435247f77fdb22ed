/**
 * Ratios of actual durations to declared ones, by which estimates of runs that
 * go on are corrected. They answer services whose declared durations are all
 * too short or too long.
 *
 * @module
 */

/** Ratio of the expected and of the longest duration to the declared one. */
export type DurationRatio = { expected: number; longest: number };

/** Ratio of a service of which too few runs have ended. */
export const DEFAULT_RATIO: DurationRatio = { expected: 1, longest: 2 };

/** Ended runs that count. */
const MAX_SAMPLES = 64;

/** Ended runs from which on they count. */
const MIN_SAMPLES = 8;

/** Part of the runs that take no longer than the longest duration. */
const LONGEST_QUANTILE = 0.95;

/** Ratios of the runs of a service that have ended last. */
export type DurationRatios = {
  /** Notes the end of a run; one without a declared duration is left out. */
  noteEnd(declaredMs: number, actualMs: number): void;
  current(): DurationRatio;
};

/**
 * Creates ratios without any ended run.
 *
 * @example
 * ```ts
 * const ratios = createDurationRatios();
 * ratios.noteEnd(step.estimateMs, durationMs);
 * const longestMs = ratios.current().longest * step.estimateMs;
 * ```
 */
export function createDurationRatios(): DurationRatios {
  const samples: number[] = [];
  let next = 0;
  let computed: DurationRatio | undefined = DEFAULT_RATIO;
  return {
    noteEnd(declaredMs, actualMs) {
      if (declaredMs <= 0) return;
      samples[next] = actualMs / declaredMs;
      next = (next + 1) % MAX_SAMPLES;
      computed = undefined;
    },
    current: () => computed ??= compute(samples),
  };
}

function compute(samples: readonly number[]): DurationRatio {
  const { length } = samples;
  if (length < MIN_SAMPLES) return DEFAULT_RATIO;
  const sorted = [...samples].sort((left, right) => left - right);
  return {
    expected: sorted[length >> 1]!,
    longest: sorted[Math.floor(LONGEST_QUANTILE * length)]!,
  };
}
