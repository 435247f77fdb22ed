/**
 * Messages about invalid fields.
 *
 * @module
 */

import type { z } from "zod";
import { describeSchema, PLAIN_NUMBER, suggestNumber } from "./_field_value.ts";

/** Field that an issue is about, with its schema and its value. */
export type IssueField = { name: string; schema: unknown; value: unknown };

const SECRET_FIELD = /key|secret|token|password/;
const MAX_VALUE_LENGTH = 60;

/** Describes what a field was expected to be and what was found. */
export function describeIssue(issue: z.core.$ZodIssue, field: IssueField) {
  const expected = expectedValue(issue, field);
  if (field.value === undefined) return `${expected}, found none`;
  // Secrets must not appear in output or logs.
  if (SECRET_FIELD.test(field.name)) return expected;
  const suggestion = issue.code === "invalid_type"
    ? suggestNumber(field.value, field.name)
    : "";
  return `${expected}, found ${formatValue(field.value)}${suggestion}`;
}

function expectedValue(issue: z.core.$ZodIssue, field: IssueField) {
  switch (issue.code) {
    case "too_small":
      return issue.inclusive === false
        ? `expected more than ${issue.minimum}${unitOf(issue.origin)}`
        : `expected at least ${issue.minimum}${unitOf(issue.origin)}`;
    case "too_big":
      return issue.inclusive === false
        ? `expected less than ${issue.maximum}${unitOf(issue.origin)}`
        : `expected at most ${issue.maximum}${unitOf(issue.origin)}`;
    case "invalid_type":
    case "invalid_value":
      return `expected ${describeSchema(field.schema, field.name)}`;
    default:
      return issue.message.startsWith("expected")
        ? issue.message
        : `expected ${describeSchema(field.schema, field.name)}`;
  }
}

function unitOf(origin: string) {
  if (origin === "string") return " characters";
  return origin === "array" ? " items" : "";
}

function formatValue(value: unknown) {
  const isPlain = typeof value === "string" && PLAIN_NUMBER.test(value);
  const text = isPlain ? value : JSON.stringify(value) ?? String(value);
  return text.length > MAX_VALUE_LENGTH
    ? `${text.slice(0, MAX_VALUE_LENGTH)}...`
    : text;
}
