/**
 * Reproducible random numbers and distributions.
 *
 * @module
 */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns the next number, uniformly distributed in [0, 1). */
export type Random = () => number;

/** Number of equally spaced values in [0, 1) that a source may return. */
const DISTINCT_VALUES = 2 ** 30;

/** Numbers that are discarded at the start of a sequence. */
const WARM_UP_DRAWS = 32;

/**
 * Returns a source of random numbers with a fixed seed.
 *
 * @example
 * ```ts
 * const random = createRandom(7);
 * random();
 * ```
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(Math.imul(seed, 0x9e3779b1));
  // The first numbers of this generator are similar for all seeds.
  for (let count = 0; count < WARM_UP_DRAWS; count++) generator.next();
  return () => uniformInt(generator, 0, DISTINCT_VALUES - 1) / DISTINCT_VALUES;
}

/**
 * Draws a value of a log-normal distribution with the given mean. `sigma` is
 * the standard deviation of its logarithm.
 *
 * @example
 * ```ts
 * const runMs = drawLogNormal(random, { mean: 80, sigma: 0.5 });
 * ```
 */
export function drawLogNormal(
  random: Random,
  options: { mean: number; sigma: number },
): number {
  const { mean, sigma } = options;
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  const normal = radius * Math.cos(2 * Math.PI * random());
  return mean * Math.exp(sigma * normal - sigma * sigma / 2);
}

/**
 * Draws the time to the next arrival of a Poisson process, in the unit of time
 * in which the rate is stated.
 *
 * @example
 * ```ts
 * atMs += drawInterarrivalTime(random, 0.6);
 * ```
 */
export function drawInterarrivalTime(random: Random, rate: number): number {
  return -Math.log(1 - random()) / rate;
}
