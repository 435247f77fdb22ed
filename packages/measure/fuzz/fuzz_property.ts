/** Seed and number of inputs of a run. */
export type FuzzRun = { seed: number; numRuns: number };

/** Property that holds for every generated input. */
export type FuzzProperty = {
  name: string;
  /** Rejects with the seed and the smallest input that breaks the property. */
  check(run: FuzzRun): Promise<void>;
};
