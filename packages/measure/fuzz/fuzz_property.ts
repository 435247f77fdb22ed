/**
 * Types of fuzz properties.
 *
 * @module
 */

/** Seed and number of inputs of a run. */
export type FuzzRun = { seed: number; numRuns: number };

/** Property that must hold for every generated input. */
export type FuzzProperty = {
  /** Name that selects the property on the command line. */
  name: string;
  /** Rejects with the seed and a minimal input that violates the property. */
  check(run: FuzzRun): Promise<void>;
};
