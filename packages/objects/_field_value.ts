/**
 * Conversion of INI values by their schemas, and descriptions of the schemas.
 *
 * @module
 */

import { z } from "zod";

/** Number without a unit. */
export const PLAIN_NUMBER = /^[+-]?(\d+\.?\d*|\.\d+)(e[+-]?\d+)?$/i;
const NUMBER_WITH_UNIT = /^([+-]?\d+(?:\.\d+)?)\s*([a-zA-Z%]+)$/;

/** Units of fields, by the suffix of the field's name. */
const FIELD_UNITS: [suffix: string, unit: string, words: string][] = [
  ["_ms", "ms", "milliseconds"],
  ["_s", "s", "seconds"],
  ["_h", "h", "hours"],
  ["_gb", "gb", "gigabytes"],
  ["_percent", "%", "percent"],
];

/** Size of a unit as a multiple of the smallest unit of its dimension. */
const UNIT_SIZES: Record<string, [dimension: string, size: number]> = {
  ms: ["time", 1],
  s: ["time", 1_000],
  min: ["time", 60_000],
  h: ["time", 3_600_000],
  d: ["time", 86_400_000],
  mb: ["memory", 1],
  gb: ["memory", 1_000],
  tb: ["memory", 1_000_000],
  "%": ["share", 1],
};

/** Returns the schema inside of wrappers for optional values and defaults. */
export function unwrapSchema(schema: unknown): z.ZodType {
  let inner = schema as z.ZodType;
  while (
    inner instanceof z.ZodOptional || inner instanceof z.ZodDefault ||
    inner instanceof z.ZodPrefault || inner instanceof z.ZodNullable
  ) inner = inner.unwrap() as z.ZodType;
  return inner;
}

/** Converts the text of a field to the type that its schema expects. */
export function convertFieldValue(value: unknown, schema: unknown): unknown {
  const inner = unwrapSchema(schema);
  if (inner instanceof z.ZodArray) {
    if (typeof value !== "string") return value;
    return value.split(",").map((item) => item.trim())
      .filter((item) => item !== "")
      .map((item) => convertFieldValue(item, inner.element));
  }
  if (inner instanceof z.ZodNumber) {
    const isPlain = typeof value === "string" && PLAIN_NUMBER.test(value);
    return isPlain ? Number(value) : value;
  }
  // The package `ini` parses the words true, false and null as values.
  const isKeyword = typeof value === "boolean" || value === null;
  return isKeyword && !(inner instanceof z.ZodBoolean) ? String(value) : value;
}

/** Describes what a schema expects, such as `a number in milliseconds`. */
export function describeSchema(schema: unknown, field: string): string {
  const inner = unwrapSchema(schema);
  if (inner instanceof z.ZodNumber) {
    const unit = FIELD_UNITS.find(([suffix]) => field.endsWith(suffix));
    const type = inner.isInt ? "a whole number" : "a number";
    return unit === undefined ? type : `${type} in ${unit[2]}, without a unit`;
  }
  if (inner instanceof z.ZodBoolean) return "true or false";
  if (inner instanceof z.ZodEnum) return inner.options.join(" or ");
  if (inner instanceof z.ZodArray) return "a list separated by commas";
  if (inner instanceof z.ZodString) return "a text";
  return "another value";
}

/** Suggests the plain number for a value with a unit, such as `5s`. */
export function suggestNumber(value: unknown, field: string): string {
  const match = typeof value === "string"
    ? NUMBER_WITH_UNIT.exec(value.trim())
    : null;
  const wanted = FIELD_UNITS.find(([suffix]) => field.endsWith(suffix));
  if (match === null || wanted === undefined) return "";
  const from = UNIT_SIZES[match[2]!.toLowerCase()];
  const to = UNIT_SIZES[wanted[1]]!;
  if (from === undefined || from[0] !== to[0]) return "";
  return `; write ${Number(match[1]) * from[1] / to[1]}`;
}
