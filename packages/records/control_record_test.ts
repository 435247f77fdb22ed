/**
 * Tests of the schema of records of the stream `control`.
 *
 * @module
 */

import { describe, expect, test } from "@jest/globals";
import { ControlRecord } from "./control_record.ts";

describe("ControlRecord", () => {
  // Guards against a record of an unknown type that is folded.
  test("rejects a record of an unknown type", () => {
    expect(ControlRecord.safeParse({ type: "other" }).success).toBe(false);
  });
});
