import type { ObjectKind } from "./object_set.ts";

/** One problem of a set or a settings file. */
export type Problem = {
  kind: ObjectKind;
  name: string;
  /** Field that is wrong; absent when the whole object is. */
  field?: string;
  /** What was expected and what was found, in one sentence. */
  message: string;
};
