import type { ObjectKind } from "./object_set.ts";

/** Problem of one object of a set. */
export type Problem = {
  kind: ObjectKind;
  name: string;
  /** Invalid field; absent if the whole object is invalid. */
  field?: string;
  /** What was expected and what was found, in one sentence. */
  message: string;
};
