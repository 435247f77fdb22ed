import { describe, expect, test } from "@jest/globals";
import { parseJson } from "./_parse_json.ts";

describe("parseJson", () => {
  // Guards against a malformed record that ends its reader with an exception.
  test("returns undefined for a malformed value", () => {
    expect(parseJson('{"services":')).toBeUndefined();
    expect(parseJson("")).toBeUndefined();
  });

  // Guards against a deleted record that is taken for a malformed one.
  test("returns null for a record without a value", () => {
    expect(parseJson(undefined)).toBeNull();
  });
});
