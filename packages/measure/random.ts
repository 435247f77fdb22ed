import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of numbers that are uniform in [0, 1). */
export type Random = () => number;

/** Steps of the unit interval, small enough for run times and gaps. */
const STEPS = 2 ** 30;

/** Numbers that are skipped at the start of a sequence. */
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
  // The first numbers of this generator are nearly the same for every seed.
  for (let count = 0; count < WARM_UP_DRAWS; count++) generator.next();
  return () => uniformInt(generator, 0, STEPS - 1) / STEPS;
}

/**
 * Draws a log-normal value with the given mean.
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
 * Draws the time to the next arrival of a Poisson process.
 *
 * @example
 * ```ts
 * atMs += drawGap(random, 0.6);
 * ```
 */
export function drawGap(random: Random, ratePerMs: number): number {
  return -Math.log(1 - random()) / ratePerMs;
}
