/**
 * Weights of organisations and what each is entitled to while a service is
 * full: when some send far more than they usually do, the others keep their
 * part of the capacity.
 *
 * @module
 */

import type { Configuration } from "../../fleet.ts";

/** Weights of the organisations of a configuration. */
export type Shares = {
  /**
   * Returns the weight of an organisation, also of one that the configuration
   * does not have. Jobs of no organisation count as those of one more.
   */
  weightOf(organisation: string | undefined): number;
};

/** Weight of an unknown organisation if the configuration has no other. */
const DEFAULT_WEIGHT = 1;

/** Largest weight that counts, so that sums of weights stay finite. */
const MAX_WEIGHT = 1e9;

/**
 * Returns the weights of a configuration; undefined if it has no organisations.
 * An organisation that it does not name has the mean weight of the others.
 *
 * @example
 * ```ts
 * const shares = createShares(configuration);
 * shares?.weightOf("league");
 * ```
 */
export function createShares(
  { organisations }: Pick<Configuration, "organisations">,
): Shares | undefined {
  if (organisations === undefined) return undefined;
  const weights = new Map(
    organisations.map(({ name, weight }) => [name, clampWeight(weight)]),
  );
  const sum = [...weights.values()].reduce((left, right) => left + right, 0);
  const mean = weights.size === 0 ? DEFAULT_WEIGHT : sum / weights.size;
  return {
    weightOf: (organisation) =>
      organisation === undefined ? mean : weights.get(organisation) ?? mean,
  };
}

const sharesByConfiguration = new WeakMap<Configuration, Shares>();

/** Returns the weights of a configuration, which are computed only once. */
export function sharesOf(
  configuration: Configuration | undefined,
): Shares | undefined {
  if (configuration?.organisations === undefined) return undefined;
  const known = sharesByConfiguration.get(configuration);
  if (known !== undefined) return known;
  const shares = createShares(configuration)!;
  sharesByConfiguration.set(configuration, shares);
  return shares;
}

function clampWeight(weight: number): number {
  if (Number.isNaN(weight)) return DEFAULT_WEIGHT;
  return Math.min(MAX_WEIGHT, Math.max(0, weight));
}

/** Share of the capacity of a service, between 0 and 1, by organisation. */
export type EntitledShares = ReadonlyMap<string | undefined, number>;

/**
 * Divides the capacity of a service among the organisations that use it or wait
 * for it, by their weights. The share of any other one goes to them.
 */
export function divideShares(
  organisations: Iterable<string | undefined>,
  { weightOf }: Shares,
): EntitledShares {
  const weights = new Map<string | undefined, number>();
  let sum = 0;
  for (const organisation of organisations) {
    if (weights.has(organisation)) continue;
    const weight = weightOf(organisation);
    weights.set(organisation, weight);
    sum += weight;
  }
  // Without any weight, all are alike.
  const shareOf = (weight: number) => sum > 0 ? weight / sum : 1 / weights.size;
  return new Map(
    [...weights].map(([organisation, weight]) => [
      organisation,
      shareOf(weight),
    ]),
  );
}
