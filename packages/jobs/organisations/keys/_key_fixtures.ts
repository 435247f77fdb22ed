/**
 * Fixtures of tests: organisations with keys, and their configurations.
 *
 * @module
 */

import { createConfiguration } from "../../_record_fixtures.ts";
import type { Configuration, Organisation, Queue } from "../../fleet.ts";

/** Queue of the configurations. */
export const QUEUE: Queue = createConfiguration().queues[0]!;

/** Creates an organisation with keys and without limits. */
export function createOrganisation(
  name: string,
  apiKeys: readonly string[] = [],
): Organisation {
  return {
    name,
    apiKeys,
    weight: 1,
    cap: { cpu: 0, memoryMb: 0, accelerators: 0 },
  };
}

/** Creates a configuration, with one queue, that has organisations. */
export function createKeyedConfiguration(
  organisations: readonly Organisation[],
  version = 1,
): Configuration {
  return { ...createConfiguration(), version, organisations };
}

/** Encodes a version whose organisation `north` has some keys. */
export function encodeKeys(version: number, keys: readonly string[]): string {
  return JSON.stringify({ version, keys });
}

/** Decodes such a version; undefined if it is malformed. */
export function decodeKeys(
  record: string | undefined,
): Configuration | undefined {
  if (record === undefined || !record.startsWith("{")) return undefined;
  const { version, keys } = JSON.parse(record);
  return createKeyedConfiguration([createOrganisation("north", keys)], version);
}
