import { describe, expect, test } from "@jest/globals";
import { PROPERTIES } from "./properties.ts";

describe("malformed input", () => {
  // Guards against external input that crashes or blocks a process, or that
  // takes effect only partly.
  test.each(PROPERTIES.map((property) => [property.name, property] as const))(
    "has no effect: %s",
    async (_, { check }) => {
      await expect(check({ seed: 20_261_204, numRuns: 40 })).resolves
        .toBeUndefined();
    },
  );
});
